#include "admission/ClientLimits.h"

#include <algorithm>

namespace crocusmount {

namespace {

    /// The memory of a process, divided by this number, may be held by clients' requests and answers.
    constexpr std::uint64_t MemoryDivisor = 4;
    /// The memory of a process, divided by this number, may be taken by what was received and is not yet read.
    constexpr std::uint64_t ReceiveMemoryDivisor = 8;
    /// The descriptors of a process, divided by this number, are left to clients. Each of their requests may need
    /// another one for the connection to a server.
    constexpr std::size_t DescriptorDivisor = 2;
    /// The descriptors, divided by this number, are left to connections that are being refused.
    constexpr std::size_t RefusalDivisor = 8;
    constexpr std::size_t MinConnections = 8;
    constexpr std::uint64_t MinReceiveBuffer = 4U << 10U;
    constexpr std::uint64_t MaxReceiveBuffer = 256U << 10U;
    constexpr std::uint64_t BodyDivisor = 8;
    constexpr std::uint64_t MaxHeadShareDivisor = 64;
    constexpr std::uint64_t MaxHead = 1U << 20U;
    constexpr std::uint64_t MinHead = 4U << 10U;

} // namespace

ClientLimits ClientLimits::make(std::uint64_t memoryBytes, std::size_t descriptors, std::size_t connections)
{
    ClientLimits limits;
    limits.memoryBytes = memoryBytes / MemoryDivisor;
    limits.connections = std::max(MinConnections, descriptors / DescriptorDivisor);
    if (connections)
        limits.connections = std::min(limits.connections, connections);
    limits.maxConnections = limits.connections + std::max(MinConnections, descriptors / RefusalDivisor);
    limits.receiveBufferBytes
        = std::clamp(memoryBytes / ReceiveMemoryDivisor / limits.connections, MinReceiveBuffer, MaxReceiveBuffer);
    return limits;
}

std::uint64_t ClientLimits::maxBodyBytes() const { return memoryBytes / BodyDivisor; }

std::uint32_t ClientLimits::maxHeadBytes() const
{
    return static_cast<std::uint32_t>(std::clamp(memoryBytes / MaxHeadShareDivisor, MinHead, MaxHead));
}

} // namespace crocusmount
