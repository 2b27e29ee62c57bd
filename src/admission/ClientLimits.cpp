#include "admission/ClientLimits.h"

#include <algorithm>
#include <limits>

namespace crocusmount {

namespace {

    /// The memory of a process, divided by this number, may be held by callers' requests and answers.
    constexpr std::uint64_t MemoryDivisor = 4;
    constexpr std::uint64_t BodyDivisor = 8;
    constexpr std::uint64_t MaxHeadShareDivisor = 64;
    constexpr std::uint64_t MaxHead = 1U << 20U;
    constexpr std::uint64_t MinHead = 4U << 10U;

} // namespace

ClientLimits ClientLimits::make(std::uint64_t memoryBytes, std::size_t descriptors, std::size_t connections)
{
    (void)descriptors;
    (void)connections;
    ClientLimits limits;
    limits.memoryBytes = memoryBytes / MemoryDivisor;
    limits.connections = std::numeric_limits<std::size_t>::max();
    limits.maxConnections = limits.connections;
    return limits;
}

std::uint64_t ClientLimits::maxBodyBytes() const { return memoryBytes / BodyDivisor; }

std::uint32_t ClientLimits::maxHeadBytes() const
{
    return static_cast<std::uint32_t>(std::clamp(memoryBytes / MaxHeadShareDivisor, MinHead, MaxHead));
}

} // namespace crocusmount
