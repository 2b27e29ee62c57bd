#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace crocusmount::relay {

/// Splits a stream of server-sent events into whole events, without changing their bytes.
class EventSplitter {
public:
    struct Event {
        std::string_view bytes; ///< with the blank line that ends the event; valid until the next feed()
        std::optional<std::uint64_t> id; ///< empty: the event has no numeric id
    };

    /// Appends bytes of the stream.
    void feed(std::string_view bytes);
    /// @return the next whole event, or nothing if more bytes are needed
    std::optional<Event> next();
    /// @return the bytes that next() has not returned; valid until the next feed()
    std::string_view rest() const;
    /// @return whether rest() holds a part of an event. Blank lines and whole comment lines are not part of one.
    bool isInsideEvent() const;

private:
    std::string m_buffer;
    std::size_t m_consumed = 0; ///< bytes at the start of m_buffer that next() has returned
};

} // namespace crocusmount::relay
