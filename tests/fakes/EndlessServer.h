#pragma once

#include "shell/Endpoint.h"
#include "shell/Net.h"

#include <string>

namespace crocusmount {

/// Answers one request with some bytes and then with a block of bytes again and again, until the client closes the
/// connection or MaxBytes are sent.
class EndlessServer {
public:
    static constexpr std::size_t MaxBytes = 256U << 20U;

    EndlessServer(net::io_context& context, std::string beginning, std::string block)
        : m_acceptor(context.get_executor(), *parseEndpoint<Tcp>("127.0.0.1:0"))
        , m_beginning(std::move(beginning))
        , m_block(std::move(block))
    {
        net::co_spawn(context.get_executor(), run(), net::detached);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }
    std::size_t bytesSent() const { return m_bytesSent; }

private:
    Awaitable<void> run()
    {
        constexpr auto asTuple = net::as_tuple(useAwaitable);
        TcpStream stream(m_acceptor.get_executor());
        co_await m_acceptor.async_accept(stream.socket(), asTuple);
        beast::flat_buffer buffer;
        http::request<http::string_body> request;
        co_await http::async_read(stream, buffer, request, asTuple);
        co_await net::async_write(stream, net::buffer(m_beginning), asTuple);
        std::string blocks;
        while (blocks.size() < 65536)
            blocks += m_block;
        while (m_bytesSent < MaxBytes) {
            const auto [error, count] = co_await net::async_write(stream, net::buffer(blocks), asTuple);
            m_bytesSent += count;
            if (error)
                co_return;
        }
    }

    net::basic_socket_acceptor<Tcp, Executor> m_acceptor;
    std::string m_beginning;
    std::string m_block;
    std::size_t m_bytesSent = 0;
};

} // namespace crocusmount
