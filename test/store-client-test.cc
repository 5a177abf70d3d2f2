#include "store-client.h"

#include <optional>

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <gtest/gtest.h>

#include "event-loop.h"
#include "oriolelever/http-service.h"
#include "oriolelever/object-follower.h"
#include "oriolelever/presence.h"

namespace oriolelever::platform {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

Endpoint loopback(std::uint16_t port)
{
    Endpoint endpoint;
    EXPECT_TRUE(parseEndpoint("127.0.0.1:" + std::to_string(port), endpoint));
    return endpoint;
}

json storedObject(const std::string &name, std::uint64_t revision, const json &spec)
{
    return {{"meta", {{"Name", name}, {"Rev", revision}, {"Created", 1}, {"Finalizers", json::array()}}},
            {"spec", spec},
            {"status", nullptr}};
}

// A store that answers each call with the next queued reply, and with 503 if there is none.
class StoreClientTest : public testing::Test
{
public:
    StoreClientTest()
    {
        runUntil(context, [this] { return service.port() != 0; });
        client = std::make_unique<StoreClient>(context, loopback(service.port()));
    }

    void addReply(int status, const json &body, const std::string &era = {})
    {
        replies.push_back({.status = status, .body = body.dump()});
        if (!era.empty()) {
            replies.back().headers.emplace_back("store-era", era);
        }
    }

    template<typename T>
    Answer<T> wait(std::optional<Answer<T>> &answer)
    {
        runUntil(context, [&] { return answer.has_value(); });
        return *answer;
    }

    template<typename T>
    static Done<T> storeIn(std::optional<Answer<T>> &answer)
    {
        return [&answer](const Answer<T> &given) {
            answer.emplace(given);
        };
    }

    asio::io_context context;
    std::vector<HttpReply> replies; ///< Queued replies, the next one first.
    std::vector<HttpRequest> requests;
    HttpService service{context, loopback(0), [this](const HttpRequest &request) {
                            requests.push_back(request);
                            if (replies.empty()) {
                                return HttpReply{.status = 503, .body = "{}"};
                            }
                            auto reply = replies.front();
                            replies.erase(replies.begin());
                            return reply;
                        }};
    std::unique_ptr<StoreClient> client;
};

TEST_F(StoreClientTest, CreatesAndReplacesObjects)
{
    addReply(200, storedObject("side-1", 12, {{"host", "10.1.0.8"}}));
    std::optional<Answer<Object>> created;
    client->write({.kind = "agents", .name = "side-1", .value = {{"host", "10.1.0.8"}}}, {},
                  storeIn(created));
    const auto object = wait(created);
    ASSERT_TRUE(object);
    EXPECT_EQ(object.value().version, 12U);
    EXPECT_EQ(requests[0].method, "POST");
    EXPECT_EQ(requests[0].path, "/objects/agents");
    EXPECT_EQ(json::parse(requests[0].body)["meta"]["Name"], "side-1");

    addReply(409, storedObject("side-1", 14, {{"host", "10.9.9.9"}}));
    std::optional<Answer<Object>> replaced;
    client->write(object.value(), {}, storeIn(replaced));
    const auto conflict = wait(replaced);
    ASSERT_FALSE(conflict);
    EXPECT_EQ(conflict.error().code, Code::PlatformConflict);
    EXPECT_EQ(requests[1].method, "PUT");
    EXPECT_EQ(requests[1].path, "/objects/agents/side-1");
    EXPECT_EQ(json::parse(requests[1].body)["meta"]["Rev"], 12);
}

TEST_F(StoreClientTest, ListsAllPages)
{
    addReply(200,
             {{"items", {storedObject("a", 3, 1), {{"foreign", true}}, storedObject("b", 4, 2)}},
              {"More", true},
              {"StoreRevision", 9}});
    addReply(200, {{"items", {storedObject("c", 5, 3)}}, {"More", false}, {"StoreRevision", 11}});
    std::optional<Answer<ObjectList>> listed;
    client->list("agents", storeIn(listed));
    const auto list = wait(listed);
    ASSERT_TRUE(list);
    EXPECT_EQ(list.value().objects.size(), 3U);
    EXPECT_EQ(list.value().position.revision, 9U) << "a watch after the first page misses no later change";
}

TEST_F(StoreClientTest, APageOfForeignObjectsDoesNotEndTheList)
{
    const json foreign{{"meta", {{"Name", "f/1 &?"}}}, {"spec", 1}};
    addReply(200, {{"items", {foreign}}, {"More", true}, {"StoreRevision", 9}});
    addReply(200, {{"items", {storedObject("g", 5, 3)}}, {"More", false}, {"StoreRevision", 11}});
    std::optional<Answer<ObjectList>> listed;
    client->list("agents", storeIn(listed));
    const auto list = wait(listed);
    ASSERT_TRUE(list);
    ASSERT_EQ(list.value().objects.size(), 1U);
    EXPECT_EQ(list.value().position.revision, 9U) << "of the first page";
    EXPECT_EQ(requests[1].query, "after=f%2F1%20%26%3F");
}

TEST_F(StoreClientTest, PagesOfTwoErasAreNoList)
{
    addReply(200, {{"items", {storedObject("a", 3, 1)}}, {"More", true}, {"StoreRevision", 9}}, "1");
    addReply(200, {{"items", {storedObject("c", 5, 3)}}, {"More", false}, {"StoreRevision", 7}}, "2");
    std::optional<Answer<ObjectList>> listed;
    client->list("agents", storeIn(listed));
    EXPECT_FALSE(wait(listed));
    EXPECT_EQ(client->era(), 2U);
}

TEST_F(StoreClientTest, ALateAnswerOfAnOlderEraChangesNothing)
{
    const json list{{"items", {storedObject("a", 3, 1)}}, {"More", false}, {"StoreRevision", 9}};
    addReply(503, json::object(), "4");
    addReply(200, list, "3");
    addReply(200, storedObject("a", 12, 1), "3");
    addReply(200, list, "4");
    std::optional<Answer<ObjectList>> refused;
    client->list("agents", storeIn(refused));
    EXPECT_FALSE(wait(refused));
    EXPECT_EQ(client->era(), 4U) << "refusals tell the era too";
    std::optional<Answer<ObjectList>> late;
    client->list("agents", storeIn(late));
    EXPECT_FALSE(wait(late));
    std::optional<Answer<Object>> written;
    client->write({.kind = "agents", .name = "a", .value = 1}, {}, storeIn(written));
    EXPECT_EQ(wait(written).error().code, Code::PlatformOutcomeUnknown);
    std::optional<Answer<ObjectList>> listed;
    client->list("agents", storeIn(listed));
    ASSERT_TRUE(wait(listed));
    EXPECT_EQ(listed->value().position, (StorePosition{.era = 4, .revision = 9}));
}

TEST_F(StoreClientTest, AWatchThatASecondEraAnswersRestarts)
{
    addReply(200, {{"items", json::array()}, {"More", false}, {"StoreRevision", 9}}, "1");
    addReply(200, {{"events", json::array()}, {"StoreRevision", 40}}, "2");
    std::optional<Answer<ObjectList>> listed;
    client->list("config", storeIn(listed));
    std::optional<Answer<WatchBatch>> watched;
    client->watch({"config"}, wait(listed).value().position, milliseconds(1000), storeIn(watched));
    ASSERT_TRUE(wait(watched));
    EXPECT_TRUE(watched->value().restart);
}

TEST_F(StoreClientTest, AnEraThatIsNoNumberIsIgnored)
{
    addReply(200, storedObject("a", 12, 1), "new");
    std::optional<Answer<Object>> read;
    client->read("agents", "a", storeIn(read));
    EXPECT_TRUE(wait(read));
    EXPECT_EQ(client->era(), 0U);
}

TEST_F(StoreClientTest, APageWithoutANameToContinueAfterIsAnError)
{
    addReply(200, {{"items", {{{"foreign", true}}}}, {"More", true}, {"StoreRevision", 9}});
    std::optional<Answer<ObjectList>> listed;
    client->list("agents", storeIn(listed));
    ASSERT_FALSE(wait(listed));
    EXPECT_EQ(listed->error().code, Code::PlatformRefused);
    EXPECT_EQ(requests.size(), 1U) << "the page is not requested again";
}

TEST_F(StoreClientTest, EachRefusalIsAnErrorOfItsOwn)
{
    const std::vector<std::pair<int, Code>> expected{{404, Code::NotFound},
                                                     {409, Code::PlatformConflict},
                                                     {429, Code::PlatformThrottled},
                                                     {503, Code::PlatformUnreachable}};
    for (const auto &[status, code] : expected) {
        addReply(status, json::object());
        std::optional<Answer<Object>> read;
        client->read("config", "main", storeIn(read));
        const auto answer = wait(read);
        ASSERT_FALSE(answer);
        EXPECT_EQ(answer.error().code, code) << status;
    }
}

TEST_F(StoreClientTest, AnUnreadableAnswerIsAnError)
{
    replies.push_back({.status = 200, .body = "\x80 no JSON"});
    std::optional<Answer<ObjectList>> listed;
    client->list("agents", storeIn(listed));
    EXPECT_EQ(wait(listed).error().code, Code::PlatformRefused);
}

// What another writer may leave as the value of an entry.
std::vector<std::string> unreadableValues()
{
    return {R"({"host":"\ud83d"})", R"({"host":1e400})", "{\"host\":\"\xff\"}",
            std::string(500'000, '[') + std::string(500'000, ']')};
}

std::string storedText(const std::string &name, int revision, const std::string &spec)
{
    return R"({"meta":{"Name":")" + name + R"(","Rev":)" + std::to_string(revision) + R"(},"spec":)" + spec
        + "}";
}

// Guards against balancers that stay out of service after a restart, as one entry of another writer makes
// them discard the list of all agents.
TEST_F(StoreClientTest, AnUnreadableEntryLeavesTheOthersInAList)
{
    std::size_t reported = 0;
    client->unreadableFound = [&](const std::string &, const UnreadableObjects &objects) {
        reported += objects.count;
    };
    for (const auto &value : unreadableValues()) {
        replies.push_back(
            {.status = 200,
             .body = R"({"items":[)" + storedText("a", 3, R"({"host":"10.1.0.8"})") + ","
                 + storedText("b", 4, value) + R"(,{"meta":{"Name":"\ud83d","Rev":5},"spec":1},)"
                 + storedText("c", 6, R"({"host":"10.1.0.9"})") + R"(],"More":false,"StoreRevision":9})"});
        std::optional<Answer<ObjectList>> listed;
        client->list("agents", storeIn(listed));
        const auto list = wait(listed);
        ASSERT_TRUE(list) << value.substr(0, 20);
        ASSERT_EQ(list.value().objects.size(), 3U);
        EXPECT_EQ(list.value().objects[0].value["host"], "10.1.0.8");
        EXPECT_TRUE(list.value().objects[1].value.is_null());
        EXPECT_EQ(list.value().objects[2].value["host"], "10.1.0.9");
    }
    EXPECT_EQ(reported, 2 * unreadableValues().size());
}

// Guards against evacuations that never come into force, as the watch that tells of them fails again and
// again.
TEST_F(StoreClientTest, AnUnreadableEntryLeavesTheOthersInAWatch)
{
    for (const auto &value : unreadableValues()) {
        replies.push_back({.status = 200,
                           .body = R"({"events":[{"Object":)" + storedText("odd", 4, value)
                               + R"(,"Deleted":false},{"Object":{"meta":7}},{"Object":)"
                               + storedText("bergamo", 5, "{}") + R"(,"Deleted":true}],"StoreRevision":5})"});
        std::optional<Answer<WatchBatch>> watched;
        client->watch({"evacuations"}, {.revision = 3}, milliseconds(1000), storeIn(watched));
        const auto batch = wait(watched);
        ASSERT_TRUE(batch) << value.substr(0, 20);
        ASSERT_EQ(batch.value().events.size(), 2U);
        EXPECT_EQ(batch.value().events[1].object.name, "bergamo");
        EXPECT_TRUE(batch.value().events[1].deleted);
        EXPECT_EQ(batch.value().position.revision, 5U);
    }
}

// Guards against an own entry, or a snapshot, that stays lost because another writer has overwritten it.
TEST_F(StoreClientTest, AnUnreadableObjectCanBeReplaced)
{
    for (const auto &value : unreadableValues()) {
        replies.push_back({.status = 200, .body = storedText("side-1", 12, value)});
        std::optional<Answer<Object>> read;
        client->read("agents", "side-1", storeIn(read));
        const auto object = wait(read);
        ASSERT_TRUE(object) << value.substr(0, 20);
        EXPECT_EQ(object.value().version, 12U);
        EXPECT_TRUE(object.value().value.is_null());
    }
}

TEST_F(StoreClientTest, LostHistoryRequiresANewList)
{
    addReply(410, json::object());
    std::optional<Answer<WatchBatch>> watched;
    client->watch({"config"}, {.revision = 5}, milliseconds(1000), storeIn(watched));
    const auto batch = wait(watched);
    ASSERT_TRUE(batch);
    EXPECT_TRUE(batch.value().restart);
}

TEST_F(StoreClientTest, AFollowerSeesChangesDeletionsAndLostHistory)
{
    addReply(
        200,
        {{"items", {storedObject("bergamo", 3, json::object())}}, {"More", false}, {"StoreRevision", 4}});
    addReply(200,
             {{"events", {{{"Object", storedObject("brescia", 5, json::object())}, {"Deleted", false}}}},
              {"StoreRevision", 5}});
    addReply(200,
             {{"events", {{{"Object", storedObject("bergamo", 6, json::object())}, {"Deleted", true}}}},
              {"StoreRevision", 6}});
    addReply(410, json::object());
    addReply(200, {{"items", json::array()}, {"More", false}, {"StoreRevision", 9}});
    std::vector<std::size_t> sizes;
    bool lost = false;
    ObjectFollower follower(context, *client, {.kind = "evacuations"},
                            {.changed = [&](const auto &objects) { sizes.push_back(objects.size()); },
                             .availability =
                                 [&](bool available, const std::string &) {
                                     lost |= !available;
                                 }});
    follower.start();
    runUntil(context, [&] { return lost; });
    const std::vector<std::size_t> expected{1, 2, 1, 0};
    EXPECT_EQ(sizes, expected);
}

// Guards against a value that is decoded again, or missed, where values are not kept.
TEST_F(StoreClientTest, AFollowerThatKeepsNoValuesHasThoseOfTheLastChange)
{
    const json document{{"Version", 1}, {"Limits", {{"Low", -1.5}, {"Set", true}, {"None", nullptr}}}};
    addReply(200, {{"items", {storedObject("main", 3, document)}}, {"More", false}, {"StoreRevision", 4}});
    addReply(200,
             {{"events", {{{"Object", storedObject("other", 5, json::object())}, {"Deleted", false}}}},
              {"StoreRevision", 5}});
    std::vector<std::string> values;
    client->keepText("config");
    ObjectFollower follower(context, *client, {.kind = "config", .keepsValues = false},
                            {.changed =
                                 [&](const auto &objects) {
                                     const auto &value = objects.at("main").value;
                                     values.push_back(value.is_string() ? value.template get<std::string>()
                                                                        : "none");
                                 },
                             .availability =
                                 [](bool, const std::string &) {
                                 }});
    follower.start();
    runUntil(context, [&] { return values.size() == 2; });
    EXPECT_EQ(json::parse(values[0]), document);
    EXPECT_EQ(values[1], "none");
}

TEST_F(StoreClientTest, AProcessThatRestartedFindsItsOwnEntry)
{
    IpAddress host;
    ASSERT_TRUE(parseIpAddress("10.1.0.8", host));
    addReply(409, storedObject("side-1", 12, {{"host", "10.1.0.8"}}));
    addReply(200, storedObject("side-1", 12, {{"host", "10.1.0.8"}}));
    addReply(
        200,
        {{"items", {storedObject("front-1", 3, {{"host", "10.1.0.2"}}), storedObject("x", 4, "foreign")}},
         {"More", false},
         {"StoreRevision", 20}});
    std::vector<IpAddress> found;
    Presence presence(context, *client,
                      {.kind = "agents", .name = "side-1", .host = host, .listedKind = "balancers"},
                      {.listed = [&](const auto &hosts) { found = hosts; },
                       .entry =
                           [](bool, const auto &) {
                           }});
    presence.start();
    runUntil(context, [&] { return !found.empty(); });
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(toString(found[0]), "10.1.0.2");
    EXPECT_EQ(requests.size(), 3U) << "the entry was not written again";
}

TEST_F(StoreClientTest, AnEntryOfAnEarlierAddressIsReplaced)
{
    IpAddress host;
    ASSERT_TRUE(parseIpAddress("10.1.0.8", host));
    addReply(409, storedObject("side-1", 12, {{"host", "10.7.7.7"}}));
    addReply(200, storedObject("side-1", 12, {{"host", "10.7.7.7"}}));
    addReply(200, storedObject("side-1", 21, {{"host", "10.1.0.8"}}));
    bool written = false;
    Presence presence(context, *client,
                      {.kind = "agents", .name = "side-1", .host = host, .listedKind = "balancers"},
                      {.listed = [](const auto &) {},
                       .entry =
                           [&](bool ok, const auto &) {
                               written |= ok;
                           }});
    presence.start();
    runUntil(context, [&] { return written; });
    EXPECT_EQ(requests[2].method, "PUT");
    EXPECT_EQ(json::parse(requests[2].body)["meta"]["Rev"], 12);
}

// The server accepts connections and sends nothing.
TEST(HttpClientTest, ACallToASilentServerTimesOut)
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    HttpClient client(context, {.server = loopback(acceptor.local_endpoint().port())});
    std::optional<HttpAnswer> answer;
    client.send({.target = "/", .timeout = milliseconds(50), .done = [&](HttpAnswer given) {
                     answer = given;
                 }});
    runUntil(context, [&] { return answer.has_value(); });
    EXPECT_EQ(answer->state, TransferState::Lost);
}

// Answers the first request of each connection and closes the connection at the second one.
class DisconnectingServer
{
public:
    explicit DisconnectingServer(asio::io_context &context, std::string answer = wholeAnswer)
        : m_acceptor(context, {asio::ip::make_address("127.0.0.1"), 0})
        , m_answer(std::move(answer))
    {
        accept();
    }

    std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

    int connections = 0;
    bool closesAfterAnswer = false; ///< Instead of at the second request.

private:
    static constexpr const char *wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

    void accept()
    {
        auto socket = std::make_shared<asio::ip::tcp::socket>(m_acceptor.get_executor());
        m_acceptor.async_accept(*socket, [this, socket](const asio::error_code &error) {
            if (!error) {
                ++connections;
                serve(socket, true);
                accept();
            }
        });
    }

    void serve(const std::shared_ptr<asio::ip::tcp::socket> &socket, bool isFirst)
    {
        socket->async_read_some(asio::buffer(m_input),
                                [this, socket, isFirst](const asio::error_code &error, auto) {
                                    if (error || !isFirst) {
                                        socket->close();
                                        return;
                                    }
                                    asio::write(*socket, asio::buffer(m_answer));
                                    if (closesAfterAnswer) {
                                        socket->close();
                                        return;
                                    }
                                    serve(socket, false);
                                });
    }

    asio::ip::tcp::acceptor m_acceptor;
    std::string m_answer;
    std::array<char, 4096> m_input{};
};

TEST(HttpClientTest, OnlyARepeatableCallIsRetried)
{
    for (const bool retryable : {true, false}) {
        asio::io_context context;
        DisconnectingServer server(context);
        HttpClient client(context, {.server = loopback(server.port())});
        std::vector<TransferState> states;
        for (int i = 0; i < 2; ++i) {
            client.send({.target = "/", .retryable = retryable, .done = [&](const HttpAnswer &answer) {
                             states.push_back(answer.state);
                         }});
        }
        runUntil(context, [&] { return states.size() == 2; });
        EXPECT_EQ(states[0], TransferState::Complete);
        EXPECT_EQ(states[1], retryable ? TransferState::Complete : TransferState::Lost);
        EXPECT_EQ(server.connections, retryable ? 2 : 1);
    }
}

// The answer of a server that sends `bytes` to the first request and then closes the connection.
HttpAnswer answerTo(const std::string &bytes)
{
    asio::io_context context;
    DisconnectingServer server(context, bytes);
    server.closesAfterAnswer = true;
    HttpClient client(context, {.server = loopback(server.port())});
    std::optional<HttpAnswer> answer;
    client.send({.target = "/", .done = [&](HttpAnswer given) {
                     answer = std::move(given);
                 }});
    runUntil(context, [&] { return answer.has_value(); });
    return *answer;
}

TEST(HttpClientTest, AnInterimAnswerIsNotTheAnswer)
{
    const auto answer
        = answerTo("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\n{}");
    EXPECT_EQ(answer.state, TransferState::Complete);
    EXPECT_EQ(answer.status, 201);
    EXPECT_EQ(answer.body, "{}");
    EXPECT_EQ(answerTo("HTTP/1.1 100 Continue\r\n\r\n").state, TransferState::Lost);
}

TEST(HttpClientTest, ABodyMayEndWithTheConnection)
{
    const auto answer = answerTo("HTTP/1.1 200 OK\r\n\r\n{\"a\":1}");
    EXPECT_EQ(answer.state, TransferState::Complete);
    EXPECT_EQ(answer.body, "{\"a\":1}");
    const auto cut = answerTo("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"a\":1}");
    EXPECT_EQ(cut.state, TransferState::Lost);
}

TEST(HttpClientTest, WithoutAServerNothingIsSent)
{
    asio::io_context context;
    std::uint16_t port = 0;
    {
        const asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
        port = acceptor.local_endpoint().port();
    }
    HttpClient client(context, {.server = loopback(port)});
    std::optional<HttpAnswer> answer;
    client.send({.target = "/", .done = [&](HttpAnswer given) {
                     answer = given;
                 }});
    runUntil(context, [&] { return answer.has_value(); });
    EXPECT_EQ(answer->state, TransferState::NotSent);
}

TEST(HttpClientTest, CallsShareOneConnection)
{
    asio::io_context context;
    HttpService service(context, loopback(0),
                        [](const HttpRequest &request) { return HttpReply{.body = request.path}; });
    runUntil(context, [&] { return service.port() != 0; });
    HttpClient client(context, {.server = loopback(service.port())});
    std::vector<std::string> bodies;
    for (const char *target : {"/a", "/b", "/c"}) {
        client.send({.target = target, .done = [&](const HttpAnswer &answer) {
                         bodies.push_back(answer.body);
                     }});
    }
    runUntil(context, [&] { return bodies.size() == 3; });
    const std::vector<std::string> expected{"/a", "/b", "/c"};
    EXPECT_EQ(bodies, expected);
    EXPECT_EQ(client.connectCount(), 1U);
}

} // namespace
} // namespace oriolelever::platform
