#pragma once

// CppUTest defines a macro for operator new, so its header must follow those of the libraries.
#include "crocusmount/Reducer.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace crocusmount {

/// Fails the current test, with a message that shows both texts, if they differ.
inline void checkEqual(const std::string& expected, const std::string& actual, const char* file, std::size_t line)
{
    if (expected != actual)
        UtestShell::getCurrent()->fail(("expected <" + expected + "> but was <" + actual + ">").c_str(), file, line);
}

} // namespace crocusmount

#define CHECK_TEXT(expected, actual) crocusmount::checkEqual((expected), (actual), __FILE__, __LINE__)
