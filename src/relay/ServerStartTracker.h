#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/Time.h"

#include <map>
#include <string>

namespace crocusmount::relay {

struct RegisteredServer;

/// How the server start that a registry entry describes relates to the starts seen so far.
enum class ServerStartStatus {
    Known, ///< this start was seen before and has not ended
    New, ///< first entry of this start: nothing known about an earlier start at its id or its address applies to it
    Ended, ///< a later start at this id or this address has ended this one
};

/// Tells the starts of backend servers apart, so that entries of an ended start are never used again. Such entries
/// arrive when the local copy of the store is behind, or when an entry that a server wrote before a crash reaches the
/// store after the entry of its successor.
///
/// Of two starts under one id, the one with the later start time is current. Of two ids at one address, the one with
/// the later start time is current, too. If one of the two ids has no start time, the id that was seen first has ended,
/// because a starting process either takes a new id or publishes its start time.
class ServerStartTracker {
public:
    /// Records a registry entry.
    /// @return the status of the start that the entry describes
    ServerStartStatus observe(const RegisteredServer&, TimePoint now);

    /// Makes the start of an entry current again after its supposed successor was removed from the registry while the
    /// entry is still listed. An instance that reads the registry for the first time can make this mistake, because it
    /// cannot tell which of two ids at one address came first.
    void reinstate(const RegisteredServer&, TimePoint now);

    /// @return whether a later start has ended the latest known start of a server id
    bool hasEnded(const BackendId&) const;
    /// @return the id of the server currently at an address, or an empty id
    BackendId occupantOf(const std::string& address) const;

private:
    struct Start {
        StartTime time;
        std::string address;
        TimePoint lastSeen; ///< time of the last entry, or of the end of this start
        bool ended = false;
    };

    bool isSuccessor(const RegisteredServer&, const Start& occupant, bool isNewId) const;
    void forgetEnded(TimePoint now);

    std::map<BackendId, Start> m_starts; ///< latest start of each server id
    std::map<std::string, BackendId> m_occupants; ///< current server id by address
    TimePoint m_lastForgotten; ///< last time that old ended starts were removed
};

} // namespace crocusmount::relay
