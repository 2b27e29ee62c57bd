#pragma once

#include <string>
#include <string_view>

namespace crocusmount {

/// Longest line of a stream of events, in bytes.
inline constexpr std::size_t MaxSseLineBytes = 1U << 20U;

/// Extracts the values of the "data" lines from a stream of server-sent events. Other fields and comments are ignored.
class SseParser {
public:
    /// Parses the next bytes of the stream.
    /// @param onData  called with the value of each complete "data" line; returns false to stop parsing
    /// @return false if onData returned false, or if a line is too long
    template <typename OnData>
    bool feed(std::string_view bytes, OnData&& onData)
    {
        const std::size_t unsearched = m_pending.size(); // What came before has no line end.
        m_pending.append(bytes);
        std::size_t begin = 0;
        bool wantsMore = true;
        for (auto end = m_pending.find('\n', unsearched); wantsMore && end != std::string::npos;
             end = m_pending.find('\n', begin)) {
            std::string_view line(m_pending.data() + begin, end - begin);
            if (!line.empty() && line.back() == '\r')
                line.remove_suffix(1);
            constexpr std::string_view field = "data:";
            if (line.substr(0, field.size()) == field) {
                line.remove_prefix(field.size());
                if (!line.empty() && line.front() == ' ')
                    line.remove_prefix(1);
                wantsMore = onData(line);
            }
            begin = end + 1;
        }
        m_pending.erase(0, begin);
        return wantsMore && m_pending.size() <= MaxSseLineBytes;
    }

private:
    std::string m_pending; ///< incomplete last line
};

} // namespace crocusmount
