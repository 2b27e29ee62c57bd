#pragma once

#include <boost/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace crocusmount {

/// One call's life, put together from the log lines of all instances: its own lines, what the instances that carried it
/// believed meanwhile of its engines, the orders to these, and what any instance held against its request before.
class CallStory {
public:
    /// @param call  the caller's id of the call
    explicit CallStory(std::string call);

    /// Takes in one line. What stands before the first brace, such as a time or a host, is passed over; a line without
    /// a JSON object with a time is no log line and is counted.
    void take(std::string_view line);

    /// @return whether any line names the call
    bool isKnown() const { return !m_lines.empty(); }
    std::uint64_t unreadable() const { return m_unreadable; }

    /// @return the lines in order of time, one object each with "since_ms" from the first
    std::vector<boost::json::object> lines() const;
    /// @return the same as text: milliseconds since the first, instance, what, fields
    std::string text() const;

private:
    std::set<std::string> engines() const;

    std::string m_call;
    std::vector<boost::json::object> m_lines; ///< that name the call
    std::vector<boost::json::object> m_beliefs; ///< on engines
    std::vector<boost::json::object> m_verdicts; ///< on requests under which servers ended
    std::uint64_t m_unreadable = 0;
};

} // namespace crocusmount
