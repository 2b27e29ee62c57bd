#pragma once

#include <cstddef>
#include <cstdint>

namespace crocusmount {

/// What all connections of clients together may hold of a process.
struct ClientLimits {
    std::uint64_t memoryBytes = 0; ///< requests, and answers that their clients have not taken
    std::size_t connections = 0; ///< open at once; above this, one is closed or refused for each new one
    /// Open at once, including those that are being refused. Above this, a new one is closed at once.
    std::size_t maxConnections = 0;
    std::size_t receiveBufferBytes = 0; ///< received by the system and not yet read, for each connection

    /// Divides the resources of a process between its clients' connections and everything else.
    /// @param memoryBytes  that the process may use
    /// @param descriptors  that the process may use for sockets
    /// @param connections  upper limit of the connections; 0: only the descriptors limit them
    static ClientLimits make(std::uint64_t memoryBytes, std::size_t descriptors, std::size_t connections = 0);

    /// @return the longest body of a request that this process can serve, in bytes
    std::uint64_t maxBodyBytes() const;
    /// @return the longest head of a request, in bytes
    std::uint32_t maxHeadBytes() const;
};

} // namespace crocusmount
