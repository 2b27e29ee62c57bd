#pragma once

#include "crocusmount/Chain.h"

#include <absl/strings/str_cat.h>
#include <string>

namespace crocusmount {

/// @return the chain in the format that engines parse, with one part for each hop: "ip:port=begin-end,..."
inline std::string wireText(const Chain& chain)
{
    std::string text;
    for (const Hop& hop : chain.hops())
        absl::StrAppend(&text, text.empty() ? "" : ",", hop.address, "=", hop.layers.begin, "-", hop.layers.end);
    return text;
}

} // namespace crocusmount
