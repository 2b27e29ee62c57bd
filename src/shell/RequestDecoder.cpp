#include "shell/RequestDecoder.h"

#include <algorithm>

namespace crocusmount {

namespace {

    constexpr std::size_t SmallRead = 4096;
    constexpr std::size_t LargeRead = 16384;
    /// The line of the last chunk, and the ends of the lines around it, are not counted as trailers.
    constexpr std::size_t FramingSlack = 64;
    /// Longest name and longest value of a field. Beast throws an exception above 65,533 bytes.
    constexpr std::size_t MaxFieldBytes = 65000;

} // namespace

/// Parses one request. The body grows in steps as it arrives: its announced length is only a claim.
class RequestDecoder::Parser final : public http::basic_parser<true> {
public:
    explicit Parser(const RequestLimits& limits)
        : m_bodyLimit(limits.bodyBytes)
    {
        header_limit(limits.headBytes);
        body_limit(limits.bodyBytes);
    }

    Request m_request;

private:
    using Text = beast::string_view;
    using Error = boost::system::error_code;

    void append(Text bytes)
    {
        std::string& body = m_request.body();
        const std::size_t needed = body.size() + bytes.size();
        if (needed > body.capacity())
            body.reserve(std::max<std::size_t>(needed, std::min<std::uint64_t>(2 * body.capacity(), m_bodyLimit)));
        body.append(bytes.data(), bytes.size());
    }

    // NOLINTBEGIN(readability-identifier-naming): the names of Beast's virtual functions
    void on_request_impl(http::verb verb, Text method, Text target, int version, Error& error) override
    {
        error = {};
        if (verb == http::verb::unknown)
            m_request.method_string(method);
        else
            m_request.method(verb);
        m_request.target(target);
        m_request.version(static_cast<unsigned>(version));
    }
    void on_response_impl(int, Text, int, Error&) override { }
    void on_field_impl(http::field name, Text text, Text value, Error& error) override
    {
        error = {};
        if (is_header_done())
            return;
        if (text.size() > MaxFieldBytes || value.size() > MaxFieldBytes)
            error = http::error::header_limit;
        else
            m_request.insert(name, text, value);
    }
    void on_header_impl(Error& error) override { error = {}; }
    void on_body_init_impl(const boost::optional<std::uint64_t>& length, Error& error) override
    {
        error = {};
        if (length)
            m_bodyLimit = std::min(m_bodyLimit, *length);
    }
    std::size_t on_body_impl(Text bytes, Error& error) override
    {
        error = {};
        append(bytes);
        return bytes.size();
    }
    void on_chunk_header_impl(std::uint64_t, Text, Error& error) override { error = {}; }
    std::size_t on_chunk_body_impl(std::uint64_t, Text bytes, Error& error) override
    {
        error = {};
        append(bytes);
        return bytes.size();
    }
    void on_finish_impl(Error& error) override { error = {}; }
    // NOLINTEND(readability-identifier-naming)

    std::uint64_t m_bodyLimit; ///< the body becomes no longer than this
};

RequestDecoder::RequestDecoder() = default;
RequestDecoder::~RequestDecoder() = default;

void RequestDecoder::begin(RequestLimits limits)
{
    m_limits = limits;
    m_parser = std::make_unique<Parser>(limits);
    m_error = {};
    m_headBytes = 0;
}

net::mutable_buffer RequestDecoder::prepare()
{
    const bool isLong = m_parser && m_parser->m_request.body().size() >= SmallRead;
    return m_buffer.prepare(isLong ? LargeRead : SmallRead);
}

RequestDecoder::Progress RequestDecoder::advance()
{
    const bool wasHeadDone = m_parser->is_header_done();
    m_parser->eager(wasHeadDone);
    while (m_buffer.size() >= leastBytes() && !m_parser->is_done()) {
        const std::size_t consumed = m_parser->put(m_buffer.data(), m_error);
        m_buffer.consume(consumed);
        if (!wasHeadDone)
            m_headBytes += consumed;
        if (m_error == http::error::need_more) {
            m_error = {};
            if (m_buffer.size() < m_limits.headBytes + FramingSlack)
                break;
            m_error = http::error::header_limit;
        }
        if (m_error)
            return Progress::Failed;
        if (!wasHeadDone && m_parser->is_header_done())
            return m_parser->is_done() ? Progress::Done : Progress::HeadDone;
    }
    return m_parser->is_done() ? Progress::Done : Progress::NeedsMore;
}

std::size_t RequestDecoder::leastBytes() const
{
    // Beast asserts that a part of the last chunk is not offered again with fewer bytes than the shortest one has.
    constexpr std::size_t ShortestLastChunk = 5;
    return m_parser->is_header_done() && m_parser->chunked() ? ShortestLastChunk : 1;
}

bool RequestDecoder::isHeadDone() const { return m_parser && m_parser->is_header_done(); }

bool RequestDecoder::isBodyDue() const { return m_parser && !m_parser->is_done(); }

const RequestDecoder::Request& RequestDecoder::request() const { return m_parser->m_request; }

std::uint64_t RequestDecoder::announcedBodyBytes() const
{
    return m_parser->is_header_done() ? m_parser->content_length().value_or(0) : 0;
}

RequestDecoder::Request RequestDecoder::release()
{
    Request request = std::move(m_parser->m_request);
    m_parser.reset();
    if (!m_buffer.size() && m_buffer.capacity() > SmallRead)
        m_buffer.shrink_to_fit();
    return request;
}

void RequestDecoder::clear()
{
    m_parser.reset();
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    m_headBytes = 0;
}

std::uint64_t RequestDecoder::heldBytes() const
{
    return m_buffer.capacity() + m_headBytes + (m_parser ? m_parser->m_request.body().capacity() : 0);
}

} // namespace crocusmount
