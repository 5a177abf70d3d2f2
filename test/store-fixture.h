// A stand-in for the users' store on loopback, for tests at its interface.
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include <gtest/gtest.h>

#include "event-loop.h"
#include "oriolelever/platform.h"
#include "store-server.h"

namespace oriolelever::platform::standin {

class StoreFixture : public testing::Test
{
public:
    StoreFixture()
    {
        EXPECT_TRUE(parseEndpoint("127.0.0.1:0", endpoint));
        store = std::make_unique<StoreServer>(context, endpoint, 1);
        runUntil(context, [this] { return store->port() != 0; });
        endpoint.port = store->port();
    }

    // Makes an asynchronous call and waits for its answer.
    template<typename T>
    Answer<T> wait(const std::function<void(Done<T>)> &call)
    {
        std::optional<Answer<T>> answer;
        call([&answer](const Answer<T> &given) { answer.emplace(given); });
        runUntil(context, [&] { return answer.has_value(); });
        return *answer;
    }

    asio::io_context context;
    Endpoint endpoint; // Where the store listens.
    std::unique_ptr<StoreServer> store;
};

} // namespace oriolelever::platform::standin
