"""Sends one job to a dispatcher over HTTP: `python example/send_job.py 127.0.0.1:7070 100`."""

from __future__ import annotations

import argparse
import http.client
import secrets

if __name__ == "__main__":
    parser = argparse.ArgumentParser(description="Send one job; print the status and the result.")
    parser.add_argument("address", help="the dispatcher's address:port")
    parser.add_argument("body", nargs="*", help="keywords for the toy server: run time in ms, outcome")
    parser.add_argument("--job-class", default="nearby", help="a job class of the dispatcher's settings")
    options = parser.parse_args()
    connection = http.client.HTTPConnection(options.address, timeout=10)
    headers = {
        "X-Request-ID": secrets.token_hex(8),
        "X-Priority-Class": options.job_class,
        "X-Tenant-Id": "ege-volt",
        "X-Timeout-Ms": "5000",
    }
    connection.request("POST", f"/{options.job_class}/kadikoy", " ".join(options.body), headers)
    response = connection.getresponse()
    print(response.status, response.read().decode())
