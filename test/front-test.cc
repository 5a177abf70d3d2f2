#include "oriolelever/front.h"

#include <thread>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

namespace oriolelever {
namespace {

// Passes each request to a function.
class Events : public FrontEvents
{
public:
    std::function<void(RequestId)> arrived;

    void requestArrived(CallerRequest request) override
    {
        arrived(request.id);
    }

    void callerGone(RequestId) override
    {
    }
};

// Sends one request, handles it with `handle`, and returns all bytes until the connection is closed.
std::string fetch(const std::function<void(Front &, RequestId)> &handle)
{
    asio::io_context context;
    Events events;
    FrontOptions options;
    EXPECT_TRUE(parseEndpoint("127.0.0.1:0", options.listen));
    Front front(context, options, events);
    events.arrived = [&](RequestId request) {
        handle(front, request);
    };
    handleError([&] { return front.open(); }, [](const Error &error) { ADD_FAILURE() << error.text; });
    const auto port = front.listenEndpoint().port;
    std::string received;
    std::thread caller([&] {
        asio::io_context callerContext;
        asio::ip::tcp::socket socket(callerContext);
        socket.connect({asio::ip::address_v4::loopback(), port});
        const std::string request = "GET /d30 HTTP/1.1\r\nHost: a\r\n\r\n";
        asio::write(socket, asio::buffer(request));
        asio::error_code ended;
        asio::read(socket, asio::dynamic_buffer(received), ended);
        asio::post(context, [&] {
            front.close();
            context.stop();
        });
    });
    context.run();
    caller.join();
    return received;
}

// Guards against an answer that breaks off, or goes on, before its head has come: the caller gets a failure,
// and the process goes on.
TEST(FrontTest, AnAnswerWithoutABeginningIsAFailure)
{
    const auto expectFailure = [](const std::string &received) {
        EXPECT_EQ(received.substr(0, 12), "HTTP/1.1 502") << received;
    };
    expectFailure(fetch([](Front &front, RequestId request) { front.answerPart(request, "part", [] {}); }));
    expectFailure(fetch([](Front &front, RequestId request) { front.endAnswer(request); }));
    expectFailure(fetch([](Front &front, RequestId request) { front.abortAnswer(request); }));
}

// Guards against an answer of stated length that breaks off and looks complete.
TEST(FrontTest, AnAnswerThatBreaksOffIsShorterThanStated)
{
    const auto received = fetch([](Front &front, RequestId request) {
        front.beginAnswer(request, {.status = 200, .headers = {{"Content-Length", "100"}}});
        front.answerPart(request, "part", [&front, request] { front.abortAnswer(request); });
    });
    EXPECT_NE(received.find("Content-Length: 100"), std::string::npos) << received;
    EXPECT_EQ(received.find("part") + 4, received.size()) << received;
}

} // namespace
} // namespace oriolelever
