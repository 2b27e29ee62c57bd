#include "shell/PeerTransport.h"

#include "shell/Endpoint.h"
#include "shell/PeerCodec.h"

#include <absl/strings/str_cat.h>
#include <boost/endian/buffers.hpp>

namespace crocusmount {

namespace {

    constexpr auto asTuple = net::as_tuple(useAwaitable);
    constexpr std::size_t MaxDatagramBytes = 65000;
    /// Largest configuration request or reply.
    constexpr std::uint32_t MaxFrameBytes = 256U << 20;
    /// Limit for a whole fetch of the configuration, on both sides.
    constexpr std::chrono::milliseconds FetchTimeout { 3000 };

    /// Reads a frame: its length as a big-endian 32-bit number, then its bytes.
    /// @return the bytes, or Unavailable if the connection fails or the frame is too large
    Awaitable<absl::StatusOr<std::string>> readFrame(TcpStream& stream)
    {
        boost::endian::big_uint32_buf_t length {};
        auto [error, count] = co_await net::async_read(stream, net::buffer(&length, sizeof(length)), asTuple);
        if (error || length.value() > MaxFrameBytes)
            co_return absl::UnavailableError(error ? error.message() : "frame too large");
        std::string bytes(length.value(), '\0');
        std::tie(error, count) = co_await net::async_read(stream, net::buffer(bytes), asTuple);
        if (error)
            co_return absl::UnavailableError(error.message());
        co_return bytes;
    }

    /// Writes a frame as readFrame() expects it.
    /// @return whether all bytes were written
    Awaitable<bool> writeFrame(TcpStream& stream, std::string bytes)
    {
        const boost::endian::big_uint32_buf_t length(static_cast<std::uint32_t>(bytes.size()));
        const std::array<net::const_buffer, 2> buffers { net::buffer(&length, sizeof(length)), net::buffer(bytes) };
        const auto [error, count] = co_await net::async_write(stream, buffers, asTuple);
        co_return !error;
    }

} // namespace

PeerTransport::PeerTransport(net::io_context& context, Handlers handlers)
    : m_context(context)
    , m_handlers(std::move(handlers))
    , m_socket(context)
    , m_acceptor(context.get_executor())
{
}

absl::StatusOr<std::unique_ptr<PeerTransport>> PeerTransport::make(
    net::io_context& context, const std::string& address, Handlers handlers)
{
    const auto udp = parseEndpoint<Udp>(address);
    const auto tcp = parseEndpoint<Tcp>(address);
    if (!udp.ok() || !tcp.ok())
        return udp.status();
    std::unique_ptr<PeerTransport> transport(new PeerTransport(context, std::move(handlers)));
    boost::system::error_code error;
    transport->m_socket.open(udp->protocol(), error);
    if (!error)
        transport->m_socket.bind(*udp, error);
    if (!error)
        transport->m_acceptor.open(tcp->protocol(), error);
    if (!error)
        transport->m_acceptor.set_option(net::socket_base::reuse_address(true), error);
    if (!error)
        transport->m_acceptor.bind(*tcp, error);
    if (!error)
        transport->m_acceptor.listen(net::socket_base::max_listen_connections, error);
    if (error)
        return absl::UnavailableError(absl::StrCat("cannot bind ", address, ": ", error.message()));
    transport->m_socket.non_blocking(true);
    net::co_spawn(context.get_executor(), transport->receiveLoop(), net::detached);
    net::co_spawn(context.get_executor(), transport->acceptLoop(), net::detached);
    return transport;
}

void PeerTransport::send(const std::string& address, const PeerMessage& message)
{
    const auto endpoint = parseEndpoint<Udp>(address);
    if (!endpoint.ok())
        return;
    const std::string bytes = encode(message);
    boost::system::error_code error;
    m_socket.send_to(net::buffer(bytes), *endpoint, 0, error);
    if (error)
        ++m_traffic.sendErrors;
    else
        m_traffic.sentBytes += bytes.size();
}

Awaitable<void> PeerTransport::receiveLoop()
{
    std::string buffer(MaxDatagramBytes, '\0');
    Udp::endpoint from;
    for (;;) {
        const auto [error, count] = co_await m_socket.async_receive_from(net::buffer(buffer), from, asTuple);
        if (error == net::error::operation_aborted)
            co_return;
        if (error)
            continue; // A datagram that an absent peer refused is reported as a receive error.
        m_traffic.receivedBytes += count;
        auto message = decodePeerMessage(buffer.substr(0, count));
        if (message.ok())
            m_handlers.onMessage(*std::move(message));
        else
            ++m_traffic.malformed;
    }
}

Awaitable<void> PeerTransport::acceptLoop()
{
    for (;;) {
        auto stream = std::make_shared<TcpStream>(m_context.get_executor());
        const auto [error] = co_await m_acceptor.async_accept(stream->socket(), asTuple);
        if (error == net::error::operation_aborted)
            co_return;
        if (!error)
            net::co_spawn(m_context.get_executor(), serveConfiguration(std::move(stream)), net::detached);
    }
}

Awaitable<void> PeerTransport::serveConfiguration(std::shared_ptr<TcpStream> connection)
{
    TcpStream& stream = *connection;
    stream.expires_after(FetchTimeout);
    const auto bytes = co_await readFrame(stream);
    if (!bytes.ok())
        co_return;
    const auto since = decodeConfigurationRequest(*bytes);
    if (!since.ok()) {
        ++m_traffic.malformed;
        co_return;
    }
    std::string reply = encode(m_handlers.configurationSince(*since));
    m_traffic.sentBytes += reply.size();
    co_await writeFrame(stream, std::move(reply));
}

void PeerTransport::fetchConfiguration(const std::string& address, Revision since)
{
    net::co_spawn(m_context.get_executor(), fetch(address, since), net::detached);
}

Awaitable<void> PeerTransport::fetch(std::string address, Revision since)
{
    const auto endpoint = parseEndpoint<Tcp>(address);
    if (!endpoint.ok())
        co_return;
    TcpStream stream(m_context.get_executor());
    stream.expires_after(FetchTimeout);
    const auto [error] = co_await stream.async_connect(*endpoint, asTuple);
    std::string request = encodeConfigurationRequest(since);
    if (error || !co_await writeFrame(stream, std::move(request)))
        co_return;
    const auto bytes = co_await readFrame(stream);
    if (!bytes.ok())
        co_return;
    m_traffic.receivedBytes += bytes->size();
    auto change = decodeConfigurationChange(*bytes);
    if (change.ok())
        m_handlers.onConfiguration(*std::move(change));
    else
        ++m_traffic.malformed;
}

} // namespace crocusmount
