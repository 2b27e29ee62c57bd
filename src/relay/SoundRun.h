#pragma once

#include "relay/RequestTrait.h"

#include <cstdint>
#include <vector>

namespace crocusmount::relay {

/// Says that a request with a trait ran without crashing its server.
struct SoundRun {
    RequestTrait trait;
    /// Keys of the servers that had ended under requests with the trait before the run began. The run shows that the
    /// trait did not cause these ends. A run that began before an end shows nothing about it.
    std::vector<std::uint64_t> refutedEnds;

    bool operator==(const SoundRun&) const = default;
};

} // namespace crocusmount::relay
