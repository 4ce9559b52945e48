"""Clients of a busy hour, in a process of their own: `python3 press.py HOST PORT CLIENTS FIRST`.

Each keeps its connection and sends one small request after another, until the process is ended.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from kit.http import HttpError, encode_head, read_body, read_head

BODY = b"x" * 600
TIMEOUT_S = 5.0
PAUSE_S = 0.25


async def press(host: str, port: int, number: int) -> None:
    count = 0
    while True:
        try:
            reader, writer = await asyncio.open_connection(host, port)
            try:
                while True:
                    count += 1
                    headers = {
                        "Host": "cards.example",
                        "Request-Id": f"load-{port}-{number}-{count}",
                        "Deadline-Ms": "4000",
                        "Content-Length": str(len(BODY)),
                    }
                    writer.write(encode_head("POST", "/map/1", headers) + BODY)
                    async with asyncio.timeout(TIMEOUT_S):
                        answer = await read_head(reader)
                        if answer is None:
                            break
                        await read_body(reader, answer)
                    if answer.status != 200:
                        await asyncio.sleep(float(answer.get("Retry-After") or PAUSE_S))
            finally:
                writer.close()
        except (OSError, TimeoutError, HttpError):
            await asyncio.sleep(PAUSE_S)


async def main() -> None:
    host, port, clients, first = sys.argv[1], *map(int, sys.argv[2:5])
    await asyncio.gather(*(press(host, port, first + number) for number in range(clients)))


if __name__ == "__main__":
    asyncio.run(main())
