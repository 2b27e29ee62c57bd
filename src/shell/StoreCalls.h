#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace crocusmount {

/// What a call to the platform's store is for.
enum class StoreCallKind : std::uint8_t {
    Read,
    Watch,
    Write,
    Grant, ///< of a lease
    Renewal, ///< of a lease; the platform charges it a tenth
    End, ///< of a lease
};

constexpr std::size_t StoreCallKindCount = 6;

/// Calls by kind.
using StoreCalls = std::array<std::uint64_t, StoreCallKindCount>;

/// @return the kind's label in metrics
constexpr const char* toString(StoreCallKind kind)
{
    switch (kind) {
    case StoreCallKind::Read:
        return "read";
    case StoreCallKind::Watch:
        return "watch";
    case StoreCallKind::Write:
        return "write";
    case StoreCallKind::Grant:
        return "lease_grant";
    case StoreCallKind::Renewal:
        return "lease_renewal";
    case StoreCallKind::End:
        return "lease_end";
    }
    return "unknown";
}

} // namespace crocusmount
