#pragma once

#include <array>
#include <cstdint>
#include <string>

namespace crocusmount {

using Sha256Digest = std::array<std::uint8_t, 32>;

/// @return the SHA-256 of a text
Sha256Digest sha256(const std::string& text);

/// @return the same in lower-case hexadecimal digits
std::string sha256Hex(const std::string& text);

/// @return whether two texts are equal, in a time that depends on their lengths only
bool equalInConstantTime(const std::string&, const std::string&);

} // namespace crocusmount
