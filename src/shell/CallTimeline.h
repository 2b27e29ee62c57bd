#pragma once

#include <boost/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace crocusmount {

/// The timeline of one call, collected from the decision logs of all instances. It holds:
/// - the log lines of the call
/// - the states of its engines as seen by the instances that handled it
/// - the orders of any instance to its engines
/// - log lines of any instance about its request, or about a part of its prompt, up to the last line of the call, such
/// as
///   a quarantine
class CallTimeline {
public:
    /// @param call  id of the call, as in the field "call" of the logs
    explicit CallTimeline(std::string call);

    /// Adds one line of a log. Text before the first brace, such as a time or a host, is ignored. A line that has no
    /// JSON object with a time is counted as unreadable, unless it is empty.
    void take(std::string_view line);

    /// @return whether a log line of the call was added
    bool isKnown() const { return !m_callLines.empty(); }
    /// @return the number of lines that could not be read
    std::uint64_t unreadable() const { return m_unreadable; }

    /// @return the log lines by time; "since_ms" is added: milliseconds since the first line of the call
    std::vector<boost::json::object> lines() const;
    /// @return lines() as text, one per line: milliseconds since the first line of the call, instance, what, other
    ///         fields
    std::string text() const;

private:
    /// @return the engines that the lines of the call name
    std::set<std::string> engines() const;

    std::string m_call;
    std::vector<boost::json::object> m_callLines; ///< of the call
    std::vector<boost::json::object> m_engineLines; ///< about engines: their states, and orders to them
    std::vector<boost::json::object> m_requestLines; ///< about requests under which servers ended, such as a quarantine
    std::uint64_t m_unreadable = 0;
};

} // namespace crocusmount
