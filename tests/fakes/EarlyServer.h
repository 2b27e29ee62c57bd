#pragma once

#include "shell/Endpoint.h"
#include "shell/Net.h"

#include <string>
#include <vector>

namespace crocusmount {

/// What a server does with its connection after an answer that it gave as soon as it had read the head of a request.
enum class AfterEarlyAnswer {
    Reset, ///< resets it
    ClosedUnread, ///< closes it while bytes of the upload wait, which the system makes a reset
    EndedInOrder, ///< closes its sending direction, and resets the connection later
    ReadUpload, ///< reads all of the upload, then closes it
    LeftOpen, ///< neither reads nor sends any more
};

/// Answers each request when its head has arrived, without reading the body, and ends the connection somewhat later.
class EarlyServer {
public:
    EarlyServer(net::io_context& context, std::string answer, AfterEarlyAnswer after)
        : m_acceptor(context.get_executor(), *parseEndpoint<Tcp>("127.0.0.1:0"))
        , m_answer(std::move(answer))
        , m_after(after)
    {
        net::co_spawn(context.get_executor(), run(), net::detached);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }
    std::size_t requests() const { return m_requests; }

private:
    static constexpr auto AsTuple = net::as_tuple(useAwaitable);
    /// Long enough for the client to fill the buffers of the connection.
    static constexpr std::chrono::milliseconds Delay { 100 };

    Awaitable<void> run()
    {
        while (true) {
            TcpStream stream(m_acceptor.get_executor());
            const auto [error] = co_await m_acceptor.async_accept(stream.socket(), AsTuple);
            if (error)
                co_return;
            ++m_requests;
            co_await answer(stream);
            m_ended.push_back(std::move(stream));
        }
    }

    Awaitable<void> answer(TcpStream& stream)
    {
        std::string head;
        co_await net::async_read_until(stream, net::dynamic_buffer(head), "\r\n\r\n", AsTuple);
        co_await net::async_write(stream, net::buffer(m_answer), AsTuple);
        co_await wait();
        boost::system::error_code ignored;
        switch (m_after) {
        case AfterEarlyAnswer::Reset:
            stream.socket().set_option(net::socket_base::linger(true, 0), ignored);
            stream.socket().close(ignored);
            break;
        case AfterEarlyAnswer::ClosedUnread:
            stream.socket().close(ignored);
            break;
        case AfterEarlyAnswer::EndedInOrder:
            stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
            co_await wait();
            stream.socket().close(ignored);
            break;
        case AfterEarlyAnswer::ReadUpload:
            co_await readRest(stream, head);
            stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
            break;
        case AfterEarlyAnswer::LeftOpen:
            break;
        }
    }

    Awaitable<void> wait()
    {
        Timer timer(m_acceptor.get_executor());
        timer.expires_after(Delay);
        co_await timer.async_wait(AsTuple);
    }

    /// Reads the body of a request, of which the first bytes may have been read with the head.
    Awaitable<void> readRest(TcpStream& stream, const std::string& received)
    {
        http::request_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        beast::flat_buffer buffer;
        net::buffer_copy(buffer.prepare(received.size()), net::buffer(received));
        buffer.commit(received.size());
        co_await http::async_read(stream, buffer, parser, AsTuple);
    }

    net::basic_socket_acceptor<Tcp, Executor> m_acceptor;
    std::string m_answer;
    AfterEarlyAnswer m_after;
    std::vector<TcpStream> m_ended; ///< kept, so that only the server decides how they end
    std::size_t m_requests = 0;
};

} // namespace crocusmount
