#include "oriolelever/flow-snapshots.h"

#include <utility>

#include <asio/steady_timer.hpp>

namespace oriolelever {

namespace {

constexpr const char *flowsMember = "flows"; // Of the object's value: the snapshot.

} // namespace

struct FlowSnapshots::State : std::enable_shared_from_this<State>
{
    State(asio::io_context &context, ObjectApi &objectApi, FlowSnapshotOptions snapshotOptions,
          Events snapshotEvents)
        : api(objectApi)
        , options(std::move(snapshotOptions))
        , events(std::move(snapshotEvents))
        , timer(context)
    {
    }

    void read()
    {
        isReading = true;
        api.read(options.kind, options.zone, [self = shared_from_this()](const Answer<Object> &answer) {
            if (!self->isStopped) {
                self->handleRead(answer);
            }
        });
    }

    void handleRead(const Answer<Object> &answer)
    {
        isReading = false;
        if (!answer && answer.error().code != Code::NotFound) {
            events.failed(answer.error().text);
            callAfter(options.retryDelay, &State::read);
            return;
        }
        version = answer ? positionOf(answer.value()) : StorePosition{};
        const bool isFirst = !std::exchange(isRead, true);
        if (answer && isFirst) {
            restore(answer.value());
        }
        callAfter(options.period, &State::writeIfChanged);
    }

    void restore(const Object &object) const
    {
        const auto &value = object.value;
        if (value.is_object() && value.contains(flowsMember) && value[flowsMember].is_string()) {
            events.restored(value[flowsMember].get<std::string>());
        }
    }

    void writeIfChanged()
    {
        const auto text = events.changed();
        if (!text) {
            callAfter(options.period, &State::writeIfChanged);
            return;
        }
        api.write({.kind = options.kind,
                   .name = options.zone,
                   .version = version.revision,
                   .era = version.era,
                   .value = {{flowsMember, *text}}},
                  {}, [self = shared_from_this()](const Answer<Object> &answer) {
                      if (!self->isStopped) {
                          self->handleWritten(answer);
                      }
                  });
    }

    void handleWritten(const Answer<Object> &answer)
    {
        if (answer) {
            version = positionOf(answer.value());
        } else if (answer.error().code == Code::PlatformConflict
                   || answer.error().code == Code::PlatformOutcomeUnknown) {
            // Another balancer keeps the snapshot too, or has kept it: the next write needs its version.
            read();
            return;
        } else {
            events.failed(answer.error().text);
        }
        callAfter(options.period, &State::writeIfChanged);
    }

    void callAfter(std::chrono::milliseconds delay, void (State::*nextCall)())
    {
        timer.expires_after(delay);
        timer.async_wait([self = shared_from_this(), nextCall](const asio::error_code &cancelled) {
            if (!cancelled && !self->isStopped) {
                ((*self).*nextCall)();
            }
        });
    }

    ObjectApi &api;
    FlowSnapshotOptions options;
    Events events;
    asio::steady_timer timer;
    StorePosition version; // Of the object in the store.
    bool isReading = false;
    bool isRead = false; // The first read has succeeded.
    bool isStopped = false;
};

FlowSnapshots::FlowSnapshots(asio::io_context &context, ObjectApi &api, FlowSnapshotOptions options,
                             Events events)
    : m_state(std::make_shared<State>(context, api, std::move(options), std::move(events)))
{
}

FlowSnapshots::~FlowSnapshots()
{
    m_state->isStopped = true;
    m_state->timer.cancel();
}

void FlowSnapshots::start()
{
    m_state->read();
}

void FlowSnapshots::handleNewEra()
{
    if (m_state->isRead && !m_state->isReading) {
        m_state->callAfter(m_state->options.retryDelay, &State::read);
    }
}

void FlowSnapshots::retryNow()
{
    if (!m_state->isRead && !m_state->isReading) {
        m_state->callAfter(std::chrono::milliseconds::zero(), &State::read);
    }
}

} // namespace oriolelever
