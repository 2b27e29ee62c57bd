#include "shell/ProcessLimits.h"

#include <algorithm>
#include <sys/resource.h>
#include <unistd.h>

namespace crocusmount {

namespace {

    /// Descriptors that a process needs for files, timers and the event loop.
    constexpr std::size_t FileDescriptors = 32;
    constexpr std::size_t MaxDescriptors = 1U << 20U;
    constexpr std::uint64_t UnknownMemory = 1U << 30U;

} // namespace

ProcessLimits ProcessLimits::ofSystem()
{
    ProcessLimits limits;
    const long pages = sysconf(_SC_PHYS_PAGES);
    const long pageBytes = sysconf(_SC_PAGESIZE);
    limits.memoryBytes = pages > 0 && pageBytes > 0 ? std::uint64_t(pages) * std::uint64_t(pageBytes) : UnknownMemory;
    rlimit descriptors {};
    const bool isKnown = getrlimit(RLIMIT_NOFILE, &descriptors) == 0;
    const std::size_t total
        = isKnown ? std::min<std::size_t>(descriptors.rlim_cur, MaxDescriptors) : FileDescriptors * 2;
    limits.descriptors = total - std::min(total / 2, FileDescriptors);
    return limits;
}

ProcessLimits ProcessLimits::loweredTo(std::uint64_t memory, std::size_t sockets) const
{
    ProcessLimits lowered = *this;
    if (memory)
        lowered.memoryBytes = std::min(lowered.memoryBytes, memory);
    if (sockets)
        lowered.descriptors = std::min(lowered.descriptors, sockets);
    return lowered;
}

} // namespace crocusmount
