#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace crocusmount {

/// Summarizes the changes of a list in the log, in at most one line a second. In a fleet of hundreds of instances each
/// one learns of all others: with one line per change, such lines made up half of the fleet's log and grew with the
/// square of the number of instances.
class ListChangeLog {
public:
    /// @param logEvent  value of "what" in the log lines
    explicit ListChangeLog(std::string logEvent)
        : m_logEvent(std::move(logEvent))
    {
    }

    void added(const std::string& id, std::int64_t revision);
    void removed(const std::string& id, std::int64_t revision);
    /// Writes a line if there are unreported changes and the last line is at least a second old.
    /// @param size  current size of the list
    /// @return whether a line was written
    bool write(std::size_t size, std::chrono::steady_clock::time_point now);

private:
    /// Unreported changes of one kind.
    struct IdSummary {
        std::size_t count = 0;
        std::vector<std::string> firstIds; ///< the first few ids

        void add(const std::string& id);
    };

    std::string m_logEvent;
    IdSummary m_added;
    IdSummary m_removed;
    std::int64_t m_revision = 0; ///< store revision of the last change
    std::chrono::steady_clock::time_point m_nextLineAt;
};

} // namespace crocusmount
