#pragma once

#include "admission/ClientLimits.h"
#include "crocusmount/StrongId.h"
#include "crocusmount/Time.h"

#include <map>
#include <vector>

namespace crocusmount {

using ConnectionId = StrongId<struct ConnectionTag, std::uint64_t>;

/// Decides which connections of clients are accepted, and which requests are read further, so that all connections of a
/// process together stay within ClientLimits. Knows no sockets: its user reports what connections do, and ends those
/// that a decision names.
///
/// When memory runs short, the unfinished requests and untaken answers that have held most bytes for the longest time
/// are ended: a client that sends at once keeps its place beside a crowd that does not finish. When connections run
/// short, the one that has waited longest without a request is closed, and then the one whose request has taken longest
/// to arrive. A request that runs is ended only if its answer holds memory that is needed.
class ClientAccount {
public:
    explicit ClientAccount(ClientLimits limits)
        : m_limits(limits)
    {
    }

    /// What is to be done with a new connection.
    enum class Entry {
        Accepted,
        Rejected, ///< to be answered with a refusal and closed
        Dropped, ///< to be closed at once
    };
    /// A decision on a new connection.
    struct Opened {
        Entry entry = Entry::Accepted;
        ConnectionId id; ///< unless the connection is dropped
        std::vector<ConnectionId> ended; ///< connections to close
    };
    /// A decision on memory.
    struct Granted {
        /// Otherwise the request is to be refused, or the connection that takes no answer closed.
        bool isGranted = true;
        std::vector<ConnectionId> ended; ///< other connections whose request is to be refused, or that are to be closed
    };

    /// Opens an account for a new connection, which waits for a request.
    Opened open(TimePoint now);
    /// Ends the account of a connection. Its descriptor is free.
    void close(ConnectionId);

    /// The connection waits for a request and holds nothing else.
    void waitForRequest(ConnectionId, TimePoint now);
    /// The connection has received a part of a request.
    /// @param bytes  that the part takes in memory
    Granted receive(ConnectionId, std::uint64_t bytes, TimePoint now);
    /// The request is complete and begins to run.
    /// @param bytes  that it takes in memory
    Granted run(ConnectionId, std::uint64_t bytes, TimePoint now);
    /// The answer of the running request has grown, or the client has taken a part of it.
    /// @param bytes  of the answer that the client has not taken; 0: all is taken
    Granted keepAnswer(ConnectionId, std::uint64_t bytes, TimePoint now);
    /// The connection has no request any more, and is closed soon.
    void beginClose(ConnectionId, TimePoint now);

    /// @return whether a body of this length can be received now
    bool hasRoomFor(std::uint64_t bodyBytes) const { return bodyBytes <= largestShare(); }
    /// @return the number of open connections
    std::size_t connections() const { return m_holders.size(); }
    /// @return the bytes that requests and answers hold
    std::uint64_t heldBytes() const { return m_unfinishedBytes + m_runningBytes; }
    const ClientLimits& limits() const { return m_limits; }

private:
    enum class State { Waiting, Receiving, Running, Closing };
    /// What one connection holds.
    struct Holder {
        State state = State::Waiting;
        TimePoint since; ///< start of the state; of the answer's oldest untaken byte if there is one
        std::uint64_t unfinishedBytes = 0; ///< of a request that is not complete, or of an answer that is not taken
        std::uint64_t runningBytes = 0; ///< of the request that runs
    };
    using Holders = std::map<ConnectionId, Holder>;

    /// @return the most bytes that one request may take beside those that run
    std::uint64_t largestShare() const;
    Granted setUnfinished(Holders::iterator, std::uint64_t bytes, TimePoint now);
    /// Ends unfinished requests and untaken answers until the bytes are within the limit.
    /// @return those that were ended
    std::vector<ConnectionId> makeRoom(TimePoint now);
    /// Moves the connection to Closing, without a request or an answer.
    void end(Holder&, TimePoint now);
    void setUnfinishedBytes(Holder&, std::uint64_t bytes);
    void setRunningBytes(Holder&, std::uint64_t bytes);
    /// @return the connection to close for a new one; end() if there is none
    Holders::iterator findReplaceable(TimePoint now);

    ClientLimits m_limits;
    Holders m_holders;
    std::uint64_t m_nextId = 1;
    std::uint64_t m_unfinishedBytes = 0; ///< total over all connections
    std::uint64_t m_runningBytes = 0; ///< total over all connections
};

} // namespace crocusmount
