#include "edge/EventSplitter.h"

#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>
#include <algorithm>

namespace crocusmount::relay {

namespace {

    bool isLineBreak(char byte) { return byte == '\r' || byte == '\n'; }

    /// Lines end with CRLF, LF or CR.
    /// @return the offset of the first byte after the line that starts at `begin`, or npos
    std::size_t endOfLine(std::string_view text, std::size_t begin)
    {
        const auto end = text.find_first_of("\r\n", begin);
        if (end == std::string_view::npos || text[end] == '\n')
            return end == std::string_view::npos ? end : end + 1;
        if (end + 1 < text.size())
            return text[end + 1] == '\n' ? end + 2 : end + 1;
        // A CR at the end may be the first half of a CRLF, unless the line before it ended with a CR alone.
        const bool followsCr = end == begin && begin > 0 && text[begin - 1] == '\r';
        return followsCr ? end + 1 : std::string_view::npos;
    }

    /// @return the offset of the first byte after the blank line that ends the first event, or npos
    std::size_t endOfEvent(std::string_view text)
    {
        for (auto line = endOfLine(text, 0); line != std::string_view::npos;) {
            const auto next = endOfLine(text, line);
            if (next != std::string_view::npos && isLineBreak(text[line]))
                return next;
            line = next;
        }
        return std::string_view::npos;
    }

    /// @return the first numeric id in the event's lines, if any
    std::optional<std::uint64_t> eventId(std::string_view event)
    {
        while (!event.empty()) {
            const auto end = std::min(event.find_first_of("\r\n"), event.size());
            absl::string_view line(event.data(), end);
            event.remove_prefix(std::min(end + 1, event.size()));
            std::uint64_t id = 0;
            if (absl::ConsumePrefix(&line, "id:") && absl::SimpleAtoi(line, &id))
                return id;
        }
        return std::nullopt;
    }

} // namespace

void EventSplitter::feed(std::string_view bytes)
{
    m_buffer.erase(0, m_consumed);
    m_consumed = 0;
    m_buffer.append(bytes);
}

std::optional<EventSplitter::Event> EventSplitter::next()
{
    const std::string_view unread = rest();
    const auto end = endOfEvent(unread);
    if (end == std::string_view::npos)
        return std::nullopt;
    m_consumed += end;
    const std::string_view bytes = unread.substr(0, end);
    return Event { bytes, eventId(bytes) };
}

bool EventSplitter::isInsideEvent() const
{
    std::string_view unread = rest();
    while (!unread.empty()) {
        const auto end = unread.find_first_of("\r\n");
        if (end == std::string_view::npos || (end > 0 && unread.front() != ':'))
            return true;
        unread.remove_prefix(end + 1);
    }
    return false;
}

std::string_view EventSplitter::rest() const { return std::string_view(m_buffer).substr(m_consumed); }

} // namespace crocusmount::relay
