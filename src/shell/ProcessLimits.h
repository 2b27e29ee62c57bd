#pragma once

#include "admission/ClientLimits.h"

namespace crocusmount {

/// The memory and the descriptors that a process may use.
struct ProcessLimits {
    std::uint64_t memoryBytes = 0;
    std::size_t descriptors = 0; ///< for sockets

    /// @return the machine's memory and the descriptors that the system grants this process, less some for files
    static ProcessLimits ofSystem();
    /// Lowers the limits to those of a setting. A value of 0 leaves a limit as it is.
    ProcessLimits loweredTo(std::uint64_t memory, std::size_t sockets) const;
    /// @param connections  upper limit of the connections; 0: only the descriptors limit them
    /// @return what clients' connections may hold of these
    ClientLimits forClients(std::size_t connections = 0) const
    {
        return ClientLimits::make(memoryBytes, descriptors, connections);
    }
};

} // namespace crocusmount
