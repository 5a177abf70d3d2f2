/// HTTP side towards callers, on RESTinio: limits, malformed requests, hang-ups and streamed answers.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <asio/io_context.hpp>

#include "oriolelever/upstream.h"

namespace oriolelever {

struct FrontOptions
{
    Endpoint listen;
    std::size_t maxConnections = 2000;
    std::size_t maxConnectionsPerCaller = 256; ///< Open connections of one caller address.
    std::size_t maxBodyBytes = 1 << 20;
    std::size_t maxTargetBytes = 8192;
    std::size_t maxFieldBytes = 8192;
    std::size_t maxFields = 64;
    std::chrono::milliseconds readLimit{10'000}; ///< To receive one whole request, and for idle connections.
    std::chrono::milliseconds writeLimit{30'000}; ///< For one write to the caller.
    std::chrono::milliseconds handleLimit{120'000}; ///< Longest request; above every deadline.
};

struct CallerRequest
{
    RequestId id = 0;
    std::string method;
    std::string target;
    HeaderList headers;
    std::string body;
    IpAddress caller;
};

struct CallerAnswer
{
    std::uint16_t status = 0;
    HeaderList headers;
    std::string body;
    bool close = false; ///< Tells the caller to close the connection.
};

/// Receives callers' requests; calls come on the thread of the io_context.
class FrontEvents
{
public:
    virtual ~FrontEvents() = default;
    virtual void requestArrived(CallerRequest request) = 0;
    virtual void callerGone(RequestId request) = 0;
};

/// True if the request has a shape that two parsers may read in different ways.
bool isAmbiguous(const CallerRequest &request);

class Front
{
public:
    Front(asio::io_context &context, FrontOptions options, FrontEvents &events);
    ~Front();

    /// Opens the listener. Fails with `AddressInUse`.
    Result<void> open();
    /// Takes no new connections; those that are open go on.
    void stopAccepting();
    void close();
    Endpoint listenEndpoint() const;

    void answer(RequestId request, const CallerAnswer &answer);
    /// Begins an answer whose body follows in parts.
    void beginAnswer(RequestId request, const CallerAnswer &head);
    /// Sends a part; `written` is called once the caller's connection takes more.
    void answerPart(RequestId request, std::string part, std::function<void()> written);
    void endAnswer(RequestId request);
    /// Closes the caller's connection so that the begun answer cannot be taken for whole.
    void breakAnswer(RequestId request);

    std::size_t connections() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace oriolelever
