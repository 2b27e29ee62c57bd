#pragma once

#include "crocusmount/Time.h"

namespace crocusmount::relay {

/// @return the duration times the factor, rounded towards zero
constexpr Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

} // namespace crocusmount::relay
