#pragma once

#include <cstdint>
#include <string>

namespace crocusmount {

/// @return the token at an index of the answer to a prompt, equal for every stand-in engine
std::string knownToken(const std::string& prompt, std::uint32_t index);

/// @return the answer to a prompt, with this number of tokens
std::string knownText(const std::string& prompt, std::uint32_t tokens);

} // namespace crocusmount
