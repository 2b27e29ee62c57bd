#include "shell/RequestReading.h"

#include "shell/ClientConnections.h"
#include "shell/RequestDecoder.h"

namespace crocusmount {

namespace {

    constexpr auto asTuple = net::as_tuple(useAwaitable);
    constexpr std::chrono::seconds LingerTime { 1 };
    constexpr std::size_t MaxLingerBytes = 4U << 20U;

} // namespace

Awaitable<boost::system::error_code> readRequestPart(
    TcpStream& stream, RequestDecoder& decoder, ClientConnection& client, RequestPart part)
{
    for (;;) {
        const RequestDecoder::Progress progress = decoder.advance();
        if (progress == RequestDecoder::Progress::Failed)
            co_return decoder.error();
        if (progress == RequestDecoder::Progress::Done)
            co_return boost::system::error_code();
        if (progress == RequestDecoder::Progress::HeadDone) {
            if (part == RequestPart::Head)
                co_return boost::system::error_code();
            continue;
        }
        const net::mutable_buffer space = decoder.prepare();
        if (!client.receive(decoder.heldBytes()))
            co_return net::error::no_memory;
        const auto [error, count] = co_await stream.async_read_some(space, asTuple);
        if (client.isEnded())
            co_return net::error::no_memory;
        if (error == net::error::eof)
            co_return http::error::partial_message;
        if (error)
            co_return error;
        decoder.commit(count);
    }
}

Awaitable<void> lingerUntilClosed(TcpStream& stream, ClientConnection& client)
{
    client.beginClose();
    boost::system::error_code ignored;
    stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    stream.expires_after(LingerTime);
    std::array<char, 4096> discarded {};
    for (std::size_t total = 0; total < MaxLingerBytes;) {
        const auto [error, count] = co_await stream.async_read_some(net::buffer(discarded), asTuple);
        if (error)
            co_return;
        total += count;
    }
}

} // namespace crocusmount
