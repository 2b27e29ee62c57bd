#pragma once

#include "crocusmount/Ids.h"

#include <array>
#include <compare>
#include <cstdint>
#include <string>

namespace crocusmount::relay {

/// A digest of what a caller sent: method, host, target and body. Wide enough that no caller finds a second content for
/// one, and the same in every process.
struct ContentDigest {
    static constexpr std::size_t Size = 16;

    std::array<std::uint8_t, Size> bytes {};

    auto operator<=>(const ContentDigest&) const = default; // NOLINT(modernize-use-nullptr): clang 14 sees its own 0
    bool operator==(const ContentDigest&) const = default;

    /// @return the digest as lower-case hexadecimal digits
    std::string toText() const;
    /// @param bytes  as they were sent
    /// @return the digest, or one of zeros where the length is not Size
    static ContentDigest fromBytes(const std::string& bytes);
    /// @return the bytes, to be sent
    std::string toBytes() const { return { bytes.begin(), bytes.end() }; }
};

/// What makes two calls the same request, though they bear different ids and reach different instances. The caller is
/// a part of it in the clear, so that nothing that one caller sends can bear on another one's requests.
struct RequestIdentity {
    WorkspaceId workspace; ///< who sends it; empty on an anonymous route
    ContentDigest content;

    auto operator<=>(const RequestIdentity&) const = default; // NOLINT(modernize-use-nullptr)
    bool operator==(const RequestIdentity&) const = default;
};

} // namespace crocusmount::relay
