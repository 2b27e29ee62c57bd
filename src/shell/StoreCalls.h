#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace crocusmount {

/// Purpose of a call to the platform's store.
enum class StoreCallKind : std::uint8_t {
    Read,
    Watch,
    Write,
    Grant, ///< grants a lease
    Renewal, ///< renews a lease; the platform charges a tenth of the price of other calls
    End, ///< ends a lease
};

constexpr std::size_t StoreCallKindCount = 6;

/// Number of calls by kind, indexed by StoreCallKind.
using StoreCalls = std::array<std::uint64_t, StoreCallKindCount>;

/// @return the label of a kind in metrics
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
