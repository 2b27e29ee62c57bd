#pragma once

#include "shell/Net.h"

#include <cstdint>
#include <memory>

namespace crocusmount {

/// Limits of one request.
struct RequestLimits {
    /// Of the head; and, each by itself, of the line before a chunk and of all that follows the last chunk's size.
    std::uint32_t headBytes = 16384;
    std::uint64_t bodyBytes = 1U << 20U;
};

/// Assembles the requests of one connection from the bytes that arrive, however these are split. Knows no socket. What
/// it keeps is bounded by RequestLimits, whatever the bytes are. Trailers are checked and then ignored, because the
/// request has been judged by its head.
class RequestDecoder {
public:
    using Request = http::request<http::string_body>;

    RequestDecoder();
    ~RequestDecoder();
    RequestDecoder(const RequestDecoder&) = delete;
    RequestDecoder& operator=(const RequestDecoder&) = delete;

    enum class Progress {
        NeedsMore, ///< nothing more can be said before further bytes arrive
        HeadDone, ///< the head is complete, and the body is not; reported once
        Done,
        Failed, ///< error() tells why
    };

    /// Starts the next request. Bytes that have arrived behind the previous one belong to it.
    void begin(RequestLimits limits);
    /// @return memory for bytes to arrive; valid until the next call of any function
    net::mutable_buffer prepare();
    /// Adds bytes that have arrived in the memory of prepare().
    void commit(std::size_t count) { m_buffer.commit(count); }
    /// Processes the bytes that have arrived, up to the end of the request.
    Progress advance();

    /// @return why the request cannot be read: http::error::header_limit if its head, the line before a chunk or its
    ///         trailers are too long, http::error::body_limit, or what is malformed
    const boost::system::error_code& error() const { return m_error; }
    /// @return the request, whose body is complete once advance() has returned Done
    const Request& request() const;
    /// @return the length of the body that the head announces, in bytes; 0 if it announces none
    std::uint64_t announcedBodyBytes() const;
    /// Ends the request.
    Request release();
    /// Discards all bytes and the request, which is not to be read further.
    void clear();

    /// @return whether bytes have arrived that are not processed
    bool hasBytes() const { return m_buffer.size() > 0; }
    bool isHeadDone() const;
    /// @return whether a part of the request is missing
    bool isBodyDue() const;
    /// @return the memory that the request takes, in bytes
    std::uint64_t heldBytes() const;

private:
    class Parser;

    /// @return the number of bytes that must have arrived before the parser is asked
    std::size_t leastBytes() const;

    RequestLimits m_limits;
    beast::flat_buffer m_buffer; ///< arrived and not yet processed
    std::unique_ptr<Parser> m_parser;
    boost::system::error_code m_error;
    std::uint64_t m_headBytes = 0; ///< of the head, once it is complete
};

} // namespace crocusmount
