#pragma once

#include <array>
#include <cstdint>
#include <string>

namespace crocusmount {

using Sha256Digest = std::array<std::uint8_t, 32>;

/// @return the SHA-256 digest of the text
Sha256Digest sha256(const std::string& text);

/// @return the SHA-256 digest of the text in lower-case hexadecimal digits
std::string sha256Hex(const std::string& text);

/// Compares two texts in a time that depends only on their lengths, so that it does not reveal a secret.
/// @return whether the texts are equal
bool equalInConstantTime(const std::string&, const std::string&);

} // namespace crocusmount
