#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/Time.h"

#include <map>
#include <string>

namespace crocusmount::relay {

struct RegisteredServer;

/// What an entry of the registry tells of a backend server's start.
enum class StartStanding {
    Known, ///< the start that is known already
    New, ///< the first word of a start: nothing that was known of its id or its address holds for it
    Ended, ///< a start that a later one at its id or its address has ended
};

/// Tells the starts of backend servers apart, so that an ended one never comes back: a copy of the store may be behind,
/// and an entry that a server wrote before it crashed may reach the store when its successor is already listed.
///
/// Of two starts under one id the later time counts. Of two ids at one address, too; where one of them names no time,
/// the id that was seen first has ended, since a process that starts takes a new id or says when it started.
class StartLedger {
public:
    /// Takes in an entry.
    StartStanding note(const RegisteredServer&, TimePoint now);

    /// Takes back that an entry ended: the one that is held to have followed it is gone from the list, and it is not.
    /// An instance that reads the list for the first time cannot tell which of two ids at one address came first.
    void reinstate(const RegisteredServer&, TimePoint now);

    /// @return whether a later start has ended the one that is known of an id
    bool hasEnded(const BackendId&) const;
    /// @return the id that is known at an address, or an empty one
    BackendId occupantOf(const std::string& address) const;

private:
    struct Start {
        StartTime time;
        std::string address;
        TimePoint lastSeen;
        bool ended = false;
    };

    bool followsOccupant(const RegisteredServer&, const Start& occupant, bool isFirstWord) const;
    void forgetEnded(TimePoint now);

    std::map<BackendId, Start> m_starts;
    std::map<std::string, BackendId> m_occupants; ///< by address
    TimePoint m_lastForgotten;
};

} // namespace crocusmount::relay
