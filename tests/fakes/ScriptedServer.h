#pragma once

#include "shell/Endpoint.h"
#include "shell/Net.h"
#include "tests/fakes/ConnectionEnd.h"

#include <algorithm>
#include <string>
#include <vector>

namespace crocusmount {

/// Answers the request of each connection with the next one of a list of byte sequences, then ends the connection.
/// The last sequence is repeated. An empty sequence means that the request is never answered. Listens at two addresses,
/// because the plain server and the engine must not share one.
class ScriptedServer {
public:
    ScriptedServer(
        net::io_context& context, std::vector<std::string> answers, ConnectionEnd connectionEnd = ConnectionEnd::Closed)
        : m_plain(context.get_executor(), *parseEndpoint<Tcp>("127.0.0.1:0"))
        , m_engine(context.get_executor(), *parseEndpoint<Tcp>("127.0.0.1:0"))
        , m_answers(std::move(answers))
        , m_connectionEnd(connectionEnd)
    {
        net::co_spawn(context.get_executor(), run(m_plain), net::detached);
        net::co_spawn(context.get_executor(), run(m_engine), net::detached);
    }

    std::string plainAddress() const { return "127.0.0.1:" + std::to_string(m_plain.local_endpoint().port()); }
    std::string engineAddress() const { return "127.0.0.1:" + std::to_string(m_engine.local_endpoint().port()); }
    std::size_t requests() const { return m_requestCount; }

private:
    using Acceptor = net::basic_socket_acceptor<Tcp, Executor>;

    Awaitable<void> run(Acceptor& acceptor)
    {
        while (true) {
            TcpStream stream(acceptor.get_executor());
            const auto [error] = co_await acceptor.async_accept(stream.socket(), net::as_tuple(useAwaitable));
            if (error)
                co_return;
            beast::flat_buffer buffer;
            http::request<http::string_body> request;
            co_await http::async_read(stream, buffer, request, net::as_tuple(useAwaitable));
            const std::string answer = m_answers.at(std::min(m_requestCount, m_answers.size() - 1));
            ++m_requestCount;
            if (answer.empty()) {
                m_unanswered.push_back(std::move(stream));
                continue;
            }
            co_await net::async_write(stream, net::buffer(answer), net::as_tuple(useAwaitable));
            endConnection(stream, m_connectionEnd);
        }
    }

    Acceptor m_plain;
    Acceptor m_engine;
    std::vector<std::string> m_answers;
    ConnectionEnd m_connectionEnd;
    std::vector<TcpStream> m_unanswered; ///< connections that are kept open without an answer
    std::size_t m_requestCount = 0; ///< index of the next answer; the number of requests so far
};

} // namespace crocusmount
