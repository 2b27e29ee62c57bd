#pragma once

#include "crocusmount/Time.h"

#include <cstdint>

namespace crocusmount::relay {

/// A call that was refused for lack of capacity and whose caller was given a slot to return in.
struct PromisedReturn {
    /// Bits of a key that are told to the other instances.
    static constexpr std::uint64_t KeyMask = (std::uint64_t(1) << 48U) - 1;

    std::uint64_t key = 0; ///< of the call's workspace and content, up to KeyMask
    TimePoint begin; ///< of the slot

    bool operator==(const PromisedReturn&) const = default;
};

} // namespace crocusmount::relay
