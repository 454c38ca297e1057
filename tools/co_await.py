#!/usr/bin/env python3
"""Fails if co_await is an operand of &&, || or ?: in a C++ file.

g++ 12 may evaluate such an operand although the operator's left operand rules it out.
Usage: co_await.py FILE...
"""

import re
import sys

TOKEN = re.compile(r'//[^\n]*|/\*.*?\*/|R"(\w*)\(.*?\)\1"|"(?:\\.|[^"\\])*"|\'(?:\\.|[^\'\\])+\''
                   r"|\d[\w.']*|\w+|&&|\|\||\n|[^\s\w]", re.DOTALL)
OPERATORS = {"&&", "||", "?"}
OPENING = {"(": ")", "[": "]", "{": "}"}
CLOSING = set(OPENING.values())


class Group:
    """The tokens between two brackets, in segments that ";" and "," separate."""

    def __init__(self, opening):
        self.opening = opening
        self.has_operator = False  # of the segment
        self.awaits = []  # lines of co_await in the segment and in its parentheses
        self.earlier_awaits = []  # of earlier segments, where they were no operands

    def end_segment(self):
        """Returns the lines of the segment's co_awaits that are operands."""
        operands = self.awaits if self.has_operator else []
        if not self.has_operator:
            self.earlier_awaits += self.awaits
        self.has_operator, self.awaits = False, []
        return operands


def lines_with_operand(text):
    """Returns the numbers of the lines with a co_await that is an operand."""
    found, line, previous = [], 1, ""
    groups = [Group("{")]
    for match in TOKEN.finditer(text):
        token = match.group()
        group = groups[-1]
        if token in OPENING:
            groups.append(Group(token))
        elif token in CLOSING and len(groups) > 1:
            found += groups.pop().end_segment()
            if token != "}":  # an operator around a parenthesis has all of it as its operand
                groups[-1].awaits += group.earlier_awaits
            elif groups[-1].opening == "{":
                found += groups[-1].end_segment()
        elif token in (";", ","):
            found += group.end_segment()
        elif token == "co_await":
            group.awaits.append(line)
        elif token in OPERATORS and not (token == "&&" and previous == "auto"):
            group.has_operator = True
        line += token.count("\n")
        previous = token
    return sorted(found)


def main(paths):
    failed = False
    for path in paths:
        with open(path, encoding="utf-8") as file:
            for line in lines_with_operand(file.read()):
                print(f"{path}:{line}: co_await is an operand of &&, || or ?:")
                failed = True
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
