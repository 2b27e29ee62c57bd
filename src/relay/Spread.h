#pragma once

#include <cstdint>

namespace crocusmount::relay {

/// Derives several pseudorandom numbers from one random word, with the step and finalizer of SplitMix64.
/// @param entropy  uniformly random
/// @param use      index that distinguishes the numbers derived from this entropy
/// @return a uniformly distributed number in [0, 1)
inline double uniformFraction(std::uint64_t entropy, std::uint64_t use)
{
    std::uint64_t mixed = entropy + (use + 1) * 0x9E3779B97F4A7C15ULL;
    mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
    mixed ^= mixed >> 31U;
    return static_cast<double>(mixed >> 11U) / 9007199254740992.0; // 2^53
}

} // namespace crocusmount::relay
