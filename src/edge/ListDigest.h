#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace crocusmount {

/// Sums up the changes of a list for the log, at most one line a second. Each of hundreds of instances learns of each
/// other one: with a line a change, half of a fleet's log told of nothing else, and grew with the square of its size.
class ListDigest {
public:
    /// @param what  names the line
    explicit ListDigest(std::string what)
        : m_what(std::move(what))
    {
    }

    void added(const std::string& id, std::int64_t revision);
    void removed(const std::string& id, std::int64_t revision);
    /// Writes a line if there is something new and the last one is old enough.
    /// @param size  of the list
    /// @return whether a line was written
    bool write(std::size_t size, std::chrono::steady_clock::time_point now);

private:
    /// How often something happened, and to whom.
    struct Changes {
        std::size_t count = 0;
        std::vector<std::string> first; ///< ids, the first few of them

        void note(const std::string& id);
    };

    std::string m_what;
    Changes m_added;
    Changes m_removed;
    std::int64_t m_revision = 0; ///< of the last change
    std::chrono::steady_clock::time_point m_nextLine;
};

} // namespace crocusmount
