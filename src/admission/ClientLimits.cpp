#include "admission/ClientLimits.h"

#include <algorithm>
#include <limits>

namespace crocusmount {

namespace {

    constexpr std::uint64_t BodyDivisor = 8;

} // namespace

ClientLimits ClientLimits::make(std::uint64_t memoryBytes, std::size_t descriptors, std::size_t connections)
{
    (void)descriptors;
    (void)connections;
    ClientLimits limits;
    limits.memoryBytes = std::uint64_t(1) << 60U;
    (void)memoryBytes;
    limits.connections = std::numeric_limits<std::size_t>::max();
    limits.maxConnections = limits.connections;
    return limits;
}

std::uint64_t ClientLimits::maxBodyBytes() const { return memoryBytes / BodyDivisor; }

std::uint32_t ClientLimits::maxHeadBytes() const
{
    return std::numeric_limits<std::uint32_t>::max();
}

} // namespace crocusmount
