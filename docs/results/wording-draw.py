#!/usr/bin/env python3
"""Draws comments and names of the C++ sources at random, for a reader who does not know the code.

    docs/results/wording-draw.py REF SEED [COUNT=60] [PATH...]

Half of the draws are comments (consecutive comment lines are one), half are names (one entry for each name and file).
Each is printed with its place and the lines around it.
"""
import random
import re
import subprocess
import sys

KEYWORDS = set("""alignas auto bool break case catch char class const constexpr continue default delete do double else enum
explicit false float for friend if inline int long mutable namespace new noexcept nullptr operator override private
protected public return short signed sizeof static static_assert static_cast struct switch template this throw true try
typedef typename union unsigned using virtual void volatile while final std size_t include pragma once""".split())


def git(*arguments):
    return subprocess.run(["git", *arguments], capture_output=True, text=True, check=True).stdout


def main():
    ref, seed = sys.argv[1], int(sys.argv[2])
    count = int(sys.argv[3]) if len(sys.argv) > 3 else 60
    paths = sys.argv[4:] or ["src", "include", "tests", "bench"]
    comments, names = [], []
    files = [f for f in git("ls-tree", "-r", "--name-only", ref, *paths).split() if f.endswith((".cpp", ".hpp"))]
    for file in files:
        lines = git("show", f"{ref}:{file}").split("\n")
        seen, number = set(), 0
        while number < len(lines):
            line = lines[number]
            if re.match(r"\s*//", line):
                end = number
                while end < len(lines) and re.match(r"\s*//", lines[end]):
                    end += 1
                if not re.match(r"\s*// (NOLINT|---)", line):
                    comments.append((file, number + 1, lines[number:end + 3]))
                number = end
                continue
            if re.search(r"\s//", line) and not re.search(r"\}\s+// namespace", line):
                comments.append((file, number + 1, lines[max(0, number - 1):number + 2]))
            code = re.sub(r'"(?:\\.|[^"\\])*"', '""', line.split("//")[0])
            # Declarations: a type or keyword before the name, or a function, field, constant or enumerator.
            for name in re.findall(r"(?:[\w>&*\]]\s+|[&*])([A-Za-z_]\w{2,})(?=\s*(?:[=;,({)\[:]|$))", code):
                if name not in KEYWORDS and name not in seen and not code.strip().startswith("#"):
                    seen.add(name)
                    names.append((file, number + 1, name, lines[max(0, number - 1):number + 2]))
            number += 1
    draw = random.Random(seed)
    for kind, file, line, *rest in (
        [("comment", *c) for c in draw.sample(comments, count // 2)]
        + [("name", *n) for n in draw.sample(names, count - count // 2)]
    ):
        print(f"== {kind} {file}:{line}" + (f" `{rest[0]}`" if kind == "name" else ""))
        print("\n".join(rest[-1]))


if __name__ == "__main__":
    main()
