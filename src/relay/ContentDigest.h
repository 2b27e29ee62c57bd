#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>

namespace crocusmount::relay {

/// A digest of a request's method, host, target and body. The digest is wide enough that a caller cannot find two
/// contents with equal digests, and does not depend on the process that computes it.
struct ContentDigest {
    static constexpr std::size_t Size = 16;

    std::array<std::uint8_t, Size> bytes {};

    auto operator<=>(const ContentDigest&) const = default; // NOLINT(modernize-use-nullptr): clang 14 sees its own 0
    bool operator==(const ContentDigest&) const = default;

    /// @return the digest as lower-case hexadecimal digits
    std::string toHex() const;
    /// @param bytes  a digest as returned by toBytes
    /// @return the digest, or an all-zero digest if the length is not Size
    static ContentDigest fromBytes(const std::string& bytes);
    /// @return the digest as Size raw bytes, for messages to other instances
    std::string toBytes() const { return { bytes.begin(), bytes.end() }; }
};

} // namespace crocusmount::relay
