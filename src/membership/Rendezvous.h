#pragma once

#include "crocusmount/Ids.h"

#include <cstdint>
#include <string>
#include <xxhash.h>

namespace crocusmount {

/// Computes the rendezvous hash of a key and an instance. The instance with the largest weight gets the key. All
/// instances compute equal weights.
/// @return the weight of the instance for the key
inline std::uint64_t rendezvous(const std::string& key, const InstanceId& instance)
{
    const std::uint64_t seed = XXH3_64bits(instance.value().data(), instance.value().size());
    return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

} // namespace crocusmount
