"""Prints the preprocessed text of one source, with the flags of the compilation database."""
import json
import shlex
import subprocess
import sys
from pathlib import Path

build_dir, source = sys.argv[1], str(Path(sys.argv[2]).resolve())
for entry in json.loads(Path(build_dir, "compile_commands.json").read_text()):
    if str(Path(entry["directory"], entry["file"]).resolve()) == source:
        words = shlex.split(entry["command"])
        words = [w for w in words if "ccache" not in w]
        words[words.index("-o") + 1] = "-"
        words[words.index("-c")] = "-E"
        sys.exit(subprocess.run(words + ["-P"], cwd=entry["directory"]).returncode)
sys.exit(f"{source} is not in the compilation database")
