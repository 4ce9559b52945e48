"""The embedding example in README.md runs as printed."""

import re
from pathlib import Path

README = Path(__file__).parents[2] / "README.md"


def test_embedding_example_runs():
    [example] = re.findall(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
    names: dict[str, object] = {}
    exec(compile(example, "README.md", "exec"), names)
    assert len(names["sends"]) == 1
