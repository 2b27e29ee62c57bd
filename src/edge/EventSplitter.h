#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace crocusmount::relay {

/// Cuts a server-sent event stream into whole events without changing a byte of them.
class EventSplitter {
public:
    struct Event {
        std::string_view bytes; ///< with the blank line that ends it; valid until the next call
        std::optional<std::uint64_t> id;
    };

    void feed(std::string_view bytes);
    /// @return the next whole event, or nothing until more bytes come
    std::optional<Event> next();
    /// @return what has come of an event that is not whole
    std::string_view rest() const;

private:
    std::string m_buffer;
    std::size_t m_taken = 0;
};

} // namespace crocusmount::relay
