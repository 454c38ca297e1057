#!/usr/bin/env python3
"""Tests of tools/co_await.py: each case is a line of C++ and whether the check must report it."""

import os
import sys

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
sys.path.insert(0, os.path.join(ROOT, "tools"))
import co_await  # noqa: E402

CASES = [
    ("while (!budget.IsNone() && !co_await TakeTokens(budget)) {}", True),
    ("if (changes && !co_await Apply(std::move(config), run)) { co_return; }", True),
    ("if (!document || co_await Swap(key, document->Text())) {}", True),
    ("auto x = ready ? co_await Read() : Value();", True),
    ("auto x = co_await Ready() ? 1 : 2;", True),
    ("bool done = a && Check(co_await Read());", True),
    ("bool done = a && Check(1, co_await Read(), 2);", True),
    ("bool done = (co_await Read()) && b;", True),
    ("co_return a || (b && co_await Read());", True),
    ("if (a) {} bool b = c && co_await Read();", True),
    ("auto f = [&]() -> Awaitable<bool> { co_return a && co_await Read(); };", True),
    ("co_await Read(a && b, c ? d : e);", False),
    ("if (co_await Read()) { x = a && b; }", False),
    ("if (a && b) { co_await Read(); }", False),
    ("if (a && b) co_await Read();", False),
    ("while (!co_await Read()) {}", False),
    ("for (auto&& item : co_await Read()) {}", False),
    ("bool b = a && c; co_await Read();", False),
    ("bool b = Any(items, [&] { return a && c; }); co_await Read();", False),
    ("bool b = a && Spawn([&]() -> Awaitable<void> { co_await Read(); });", False),
    ("f(a && b, co_await Read());", False),
    ("// a && co_await b", False),
    ('Log("a && co_await b");', False),
]

failed = [(text, reported) for text, reported in CASES
          if bool(co_await.lines_with_operand(text)) != reported]
for text, reported in failed:
    print("must be reported:" if reported else "must not be reported:", text)
if co_await.lines_with_operand("a;\n/* x\n */\nb && co_await c;") != [4]:
    print("wrong line number")
    failed.append(None)
sys.exit(1 if failed else 0)
