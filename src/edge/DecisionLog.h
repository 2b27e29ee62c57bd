#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace crocusmount::relay {

/// Structured log of decisions about calls and of changes of state: one JSON object per line on standard output. A
/// separate thread writes the lines. Lines that arrive faster than the thread writes them, or faster than the limit
/// allows, are dropped and counted, so that logging never blocks.
class DecisionLog {
public:
    /// Starts the writing thread. Lines logged before are discarded.
    /// @param instance        id of this instance, written in every line
    /// @param linesPerSecond  limit of the lines about single calls; other lines are not limited
    static void setUp(std::string instance, std::uint32_t linesPerSecond);
    /// Writes the queued lines and ends the thread.
    static void shutDown();

    /// Logs a change of this instance's state or of its view of the others: start, stop, configuration, servers,
    /// dependencies. The limit does not apply.
    /// @param what    kind of the change
    /// @param fields  further fields of the line
    static void state(std::string_view what, const boost::json::object& fields = {});
    /// Logs a decision about one call.
    /// @param what    kind of the decision
    /// @param call    the caller's id of the call
    /// @param fields  further fields of the line
    static void call(std::string_view what, std::string_view call, const boost::json::object& fields = {});

    /// @return the number of lines dropped because of the limit or a full queue
    static std::uint64_t dropped();
};

} // namespace crocusmount::relay
