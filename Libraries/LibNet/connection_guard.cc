#include "LibNet/connection_guard.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string>
#include <utility>

#include "LibCore/check.h"
#include "LibCore/event.h"
#include "LibNet/head_scanner.h"
#include "LibNet/http_status.h"

namespace kcm::net {

namespace {

using core::Millis;

/// Objects of evhttp, libevent and this file for one connection.
constexpr std::size_t kBytesPerConnection = 4096;
/// A header becomes a node and two strings of their own.
constexpr std::size_t kBytesPerLine = 128;
/// A body is held as read, as passed to the handler and as the handler encodes
/// or decodes it.
constexpr std::size_t kCopies = 3;
/// The operators' limit may be counted without line ends or request line.
constexpr std::size_t kHeadMargin = 1024;
/// evhttp checks heads, too, and answers 413; the check here comes first.
constexpr std::size_t kParserMargin = 65536;
/// Room in the input beside a whole body, for the lines of its chunks.
constexpr std::size_t kReadMargin = 65536;
/// Chunks of one byte take six; a body within its limit may come like that.
constexpr std::size_t kChunkFactor = 6;
/// What a client may send ahead while its request is being answered.
constexpr std::size_t kPipelineBytes = 16384;
/// What is read and dropped after a refusal, for a client that reads the answer
/// only when it has sent its request, and how long.
constexpr std::size_t kMaxDroppedBytes = std::size_t{1024} * 1024;
constexpr Millis kMaxDropMs = 2000;
/// Interval at which time limits are checked, for all connections together.
constexpr Millis kSweepMs = 500;
/// A client that reads nothing of an answer for this time, while the system's
/// buffers are full, does not read it. Answers to clients fit in the buffers.
constexpr Millis kStalledMs = 2000;
/// A client at its limit is not refused for the time that bytes are under way.
/// Its times are read from a clock that is one interval old, or two on a
/// machine with little processor time.
constexpr Millis kTimeMargin = 500 + kSweepMs;

struct StatusLine {
  int status;
  const char* phrase;
  RefusalKind kind;
};

/// The statuses with which a request is refused here or by evhttp.
constexpr std::array kStatusLines = {
    StatusLine{kHttpBadRequest, "Bad Request", RefusalKind::kMalformed},
    StatusLine{kHttpRequestTimeout, "Request Timeout", RefusalKind::kTooSlow},
    StatusLine{kHttpContentTooLarge, "Content Too Large",
               RefusalKind::kBodyTooLong},
    StatusLine{kHttpExpectationFailed, "Expectation Failed",
               RefusalKind::kMalformed},
    StatusLine{kHttpHeadTooLarge, "Request Header Fields Too Large",
               RefusalKind::kHeadTooLong},
    StatusLine{kHttpNotImplemented, "Not Implemented", RefusalKind::kMalformed},
};

auto StatusLineOf(int status) -> const StatusLine& {
  const auto* const found =
      std::find_if(kStatusLines.begin(), kStatusLines.end(),
                   [&](const auto& row) { return row.status == status; });
  return found == kStatusLines.end() ? kStatusLines.front() : *found;
}

auto RefusalText(const StatusLine& line) -> std::string {
  return "HTTP/1.1 " + std::to_string(line.status) + " " + line.phrase +
         "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
}

/// @return the status of an answer that begins with the bytes added to a
///     buffer, or zero.
auto StatusOf(evbuffer* buffer) -> int {
  constexpr std::string_view kVersion = "HTTP/1.1 ";
  constexpr std::size_t kDigits = 3;
  std::array<char, kVersion.size() + kDigits> start{};
  const auto size = evbuffer_copyout(buffer, start.data(), start.size());
  if (size != static_cast<ev_ssize_t>(start.size())) {
    return 0;
  }
  int status = 0;
  std::from_chars(start.data() + kVersion.size(), start.data() + start.size(),
                  status);
  return status;
}

/// Passes the last bytes of a buffer to a function, without copying them.
template <typename Function>
auto ReadLast(evbuffer* buffer, std::size_t bytes, Function function) -> void {
  constexpr int kParts = 8;
  std::array<evbuffer_iovec, kParts> parts;
  evbuffer_ptr position;
  auto skipped = evbuffer_get_length(buffer) - bytes;
  while (bytes > 0) {
    // Mostly the input was empty before, and no position has to be looked up.
    auto* const start = skipped == 0 ? nullptr : &position;
    if (start != nullptr &&
        evbuffer_ptr_set(buffer, start, skipped, EVBUFFER_PTR_SET) != 0) {
      return;
    }
    const auto count =
        std::min(kParts, evbuffer_peek(buffer, static_cast<ev_ssize_t>(bytes),
                                       start, parts.data(), kParts));
    if (count <= 0) {
      return;
    }
    for (int index = 0; index < count; ++index) {
      const auto& part = parts[static_cast<std::size_t>(index)];
      const auto size = std::min(part.iov_len, bytes);
      function(std::string_view(static_cast<const char*>(part.iov_base), size));
      skipped += size;
      bytes -= size;
    }
  }
}

}  // namespace

/// One connection: what was received of its request, and its time limits.
class ConnectionGuard::Connection final : public ClosableConnection {
 public:
  Connection(ConnectionGuard& guard, bufferevent* stream)
      : guard_(guard),
        stream_(stream),
        input_(bufferevent_get_input(stream)),
        output_(bufferevent_get_output(stream)),
        entry_(guard.table_->Add(*this)),
        since_(guard.last_sweep_at_) {
    evbuffer_add_cb(input_, OnInput, this);
    evbuffer_add_cb(output_, OnOutput, this);
    CountBytes();
    ApplyLimits();
  }

  ~Connection() override {
    if (evhttp_ != nullptr) {
      evbuffer_remove_cb(input_, OnInput, this);
      evbuffer_remove_cb(output_, OnOutput, this);
    }
    guard_.table_->Remove(entry_);
  }
  Connection(const Connection&) = delete;
  auto operator=(const Connection&) -> Connection& = delete;

  /// Connects this to evhttp's object, which evhttp creates after the
  /// bufferevent and makes the argument of its callbacks.
  auto Bind() -> void {
    void* argument = nullptr;
    bufferevent_getcb(stream_, nullptr, nullptr, nullptr, &argument);
    evhttp_ = static_cast<evhttp_connection*>(argument);
    KCM_CHECK(evhttp_ != nullptr &&
              evhttp_connection_get_bufferevent(evhttp_) == stream_);
    evhttp_connection_set_closecb(
        evhttp_,
        [](evhttp_connection* /*connection*/, void* self) {
          const auto& connection = *static_cast<Connection*>(self);
          // Destroys this object.
          connection.guard_.connections_.erase(connection.stream_);
        },
        this);
    ApplyLimits();
  }

  /// Does what could not be done in a callback of the buffers.
  auto RunDue() -> void {
    if (evhttp_ == nullptr) {
      return;
    }
    if (is_ended_) {
      // Destroys this object through the callback for the end.
      evhttp_connection_free(evhttp_);
      return;
    }
    if (refused_status_ != 0 && !std::exchange(is_taken_over_, true)) {
      TakeOver();
    }
  }

  auto Close(RefusalKind kind) -> void override {
    Record(kind);
    End();
  }

  /// Ends the connection without an answer, once the call stack allows it.
  auto End() -> void {
    is_ended_ = true;
    DropInput();
    Schedule();
  }

  auto ApplyLimits() -> void {
    const auto& limits = guard_.limits_;
    if (evhttp_ != nullptr) {
      evhttp_connection_set_max_headers_size(
          evhttp_,
          static_cast<ev_ssize_t>(limits.max_header_bytes + kParserMargin));
      evhttp_connection_set_max_body_size(
          evhttp_, static_cast<ev_ssize_t>(limits.max_body_bytes));
    }
    max_input_ =
        std::max(limits.max_body_bytes, limits.max_header_bytes) + kReadMargin;
  }

  [[nodiscard]] auto OnRequest() -> std::optional<HandledBytes> {
    if (refused_status_ != 0 || is_ended_) {
      return std::nullopt;
    }
    guard_.table_->RecordRequest(entry_);
    std::optional<HandledBytes> held(std::in_place, guard_.table_,
                                     RequestBytes());
    scanner_ = {};
    body_bytes_ = 0;
    CountBytes();
    return held;
  }

  auto OnAnswer(Kept kept) -> void {
    kept_ = std::move(kept);
    since_ = guard_.last_sweep_at_;
    guard_.table_->SetPhase(entry_, ConnectionPhase::kAnswering);
  }

  /// The answer is written whole; the next request may have arrived.
  auto OnWritten() -> void {
    kept_.reset();
    guard_.table_->SetPhase(entry_, ConnectionPhase::kReceiving);
    since_ = guard_.last_sweep_at_;
    has_begun_ = false;
    if (const auto ahead = evbuffer_get_length(input_); ahead > 0) {
      Receive(ahead);
    }
  }

  /// @param paused_ms time in which this process did not run, in which the
  ///     client's bytes were not read.
  auto CheckTime(Millis now, Millis paused_ms) -> void {
    since_ += paused_ms;
    const auto& limits = guard_.limits_;
    const auto age = now - since_;
    const auto is_over = [&](Millis limit) {
      return limit > 0 && age >= limit + kTimeMargin;
    };
    switch (entry_->phase) {
      case ConnectionPhase::kRefused:
        if (age >= kMaxDropMs) {
          End();
        }
        return;
      case ConnectionPhase::kReceiving:
        if (!has_begun_) {
          if (is_over(limits.idle_timeout_ms)) {
            Close(RefusalKind::kIdle);
          }
        } else if (is_over(scanner_.done() ? limits.idle_timeout_ms
                                           : limits.header_timeout_ms)) {
          Refuse(kHttpRequestTimeout);
        }
        return;
      case ConnectionPhase::kAnswering:
      case ConnectionPhase::kStalled:
        if (age >= kStalledMs) {
          guard_.table_->SetPhase(entry_, ConnectionPhase::kStalled);
        }
        if (is_over(limits.idle_timeout_ms)) {
          Close(RefusalKind::kTooSlow);
        }
        return;
      case ConnectionPhase::kHandling:
        return;
    }
  }

 private:
  static auto OnInput(evbuffer* /*buffer*/,
                      const evbuffer_cb_info* info,
                      void* self) -> void {
    if (info->n_added > 0) {
      static_cast<Connection*>(self)->OnBytesRead(info->n_added);
    }
  }

  static auto OnOutput(evbuffer* buffer,
                       const evbuffer_cb_info* info,
                       void* self) -> void {
    auto& connection = *static_cast<Connection*>(self);
    if (info->n_added > 0 &&
        connection.entry_->phase == ConnectionPhase::kReceiving &&
        connection.refused_status_ == 0) {
      connection.OnAnswerOfParser(StatusOf(buffer));
    }
    if (connection.IsAnswering()) {
      if (info->n_deleted > 0) {
        connection.since_ = connection.guard_.last_sweep_at_;
        connection.guard_.table_->SetPhase(connection.entry_,
                                           ConnectionPhase::kAnswering);
      }
      connection.CountBytes();
      if (info->n_added > 0) {
        connection.guard_.table_->EnforceBytes(connection.entry_);
      }
    }
  }

  [[nodiscard]] auto IsAnswering() const -> bool {
    return entry_->phase == ConnectionPhase::kAnswering ||
           entry_->phase == ConnectionPhase::kStalled;
  }

  auto OnBytesRead(std::size_t bytes) -> void {
    if (refused_status_ != 0 || is_ended_) {
      dropped_bytes_ += bytes;
      DropInput();
      if (dropped_bytes_ > kMaxDroppedBytes && !is_ended_) {
        End();
      }
      return;
    }
    if (entry_->phase == ConnectionPhase::kReceiving) {
      Receive(bytes);
    } else {
      CountBytes();
      guard_.table_->EnforceBytes(entry_);
      if (evbuffer_get_length(input_) >= kPipelineBytes) {
        // evhttp reads on while the answer is written. It enables reading
        // again for the next request.
        bufferevent_disable(stream_, EV_READ);
      }
    }
  }

  /// Counts the last bytes of the input, before evhttp reads them.
  auto Receive(std::size_t bytes) -> void {
    if (!std::exchange(has_begun_, true)) {
      since_ = guard_.last_sweep_at_;
    }
    auto body_bytes = bytes;
    if (!scanner_.done()) {
      ReadLast(input_, bytes, [&](std::string_view part) {
        body_bytes -= scanner_.Feed(part);
      });
      if (scanner_.bytes() > guard_.limits_.max_header_bytes + kHeadMargin) {
        Refuse(kHttpHeadTooLarge);
        return;
      }
    }
    if (scanner_.done()) {
      since_ = guard_.last_sweep_at_;
      body_bytes_ += body_bytes;
      if (body_bytes_ >
              guard_.limits_.max_body_bytes * kChunkFactor + kReadMargin ||
          evbuffer_get_length(input_) >= max_input_) {
        Refuse(kHttpContentTooLarge);
        return;
      }
    }
    CountBytes();
    guard_.table_->EnforceBytes(entry_);
  }

  /// evhttp refuses a request; it would close the connection as soon as that is
  /// written, and a client that is still sending would not see it.
  auto OnAnswerOfParser(int status) -> void {
    if (status >= kHttpBadRequest) {
      Refuse(status);
    }
  }

  auto Refuse(int status) -> void {
    refused_status_ = status;
    Record(StatusLineOf(status).kind);
    DropInput();
    Schedule();
  }

  auto TakeOver() -> void {
    guard_.table_->SetPhase(entry_, ConnectionPhase::kRefused);
    guard_.table_->SetBytes(entry_, kBytesPerConnection);
    since_ = guard_.last_sweep_at_;
    bufferevent_disable(stream_, EV_WRITE);
    bufferevent_setcb(
        stream_, nullptr, nullptr,
        [](bufferevent* /*stream*/, short /*what*/, void* self) {
          static_cast<Connection*>(self)->End();
        },
        this);
    const auto text = RefusalText(StatusLineOf(refused_status_));
    const auto socket = bufferevent_getfd(stream_);
    const auto sent =
        send(socket, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent != static_cast<ssize_t>(text.size()) ||
        shutdown(socket, SHUT_WR) != 0) {
      End();
      return;
    }
    bufferevent_enable(stream_, EV_READ);
  }

  auto DropInput() -> void {
    evbuffer_drain(input_, evbuffer_get_length(input_));
  }

  auto Schedule() -> void {
    guard_.due_.push_back(stream_);
    guard_.ScheduleWake();
  }

  auto Record(RefusalKind kind) -> void {
    char* host = nullptr;
    ev_uint16_t port = 0;
    if (evhttp_ != nullptr) {
      evhttp_connection_get_peer(evhttp_, &host, &port);
    }
    guard_.table_->refusals().Record(
        kind,
        host == nullptr ? "" : std::string(host) + ":" + std::to_string(port));
  }

  /// @return what is held for the request that is being received.
  [[nodiscard]] auto RequestBytes() const -> std::size_t {
    return (scanner_.bytes() + body_bytes_) * kCopies +
           scanner_.lines() * kBytesPerLine;
  }

  auto CountBytes() -> void {
    const auto is_receiving = entry_->phase == ConnectionPhase::kReceiving;
    guard_.table_->SetBytes(
        entry_,
        kBytesPerConnection +
            (is_receiving ? RequestBytes() : evbuffer_get_length(input_)) +
            evbuffer_get_length(output_));
  }

  ConnectionGuard& guard_;
  bufferevent* stream_;
  evbuffer* input_;
  evbuffer* output_;
  evhttp_connection* evhttp_ = nullptr;
  ConnectionTable::Handle entry_;
  HeadScanner scanner_;
  /// Bytes after the head, with the lines of chunks.
  std::size_t body_bytes_ = 0;
  std::size_t max_input_ = 0;
  std::size_t dropped_bytes_ = 0;
  /// Start of the present phase of the connection, or the last time when a part
  /// of a body was read or of an answer was written; on the clock of the last
  /// check of time limits, as an ordinary request should not read the time.
  Millis since_;
  /// Whether a byte of the next request has arrived.
  bool has_begun_ = false;
  /// Status with which the request is refused; zero while it is not.
  int refused_status_ = 0;
  bool is_taken_over_ = false;
  bool is_ended_ = false;
  /// Released when the answer is written.
  Kept kept_{nullptr, [](void* /*unused*/) {}};
};

ConnectionGuard::ConnectionGuard(event_base* base,
                                 evhttp* server,
                                 std::shared_ptr<ConnectionTable> table,
                                 const HttpLimits& limits)
    : base_(base),
      server_(server),
      table_(std::move(table)),
      limits_(limits),
      last_sweep_at_(core::MonotonicNow()),
      wake_(event_new(
          base,
          -1,
          0,
          [](evutil_socket_t /*unused*/, short /*unused*/, void* self) {
            static_cast<ConnectionGuard*>(self)->Wake();
          },
          this)),
      sweep_(event_new(
          base,
          -1,
          EV_PERSIST,
          [](evutil_socket_t /*unused*/, short /*unused*/, void* self) {
            static_cast<ConnectionGuard*>(self)->Sweep();
          },
          this)) {
  KCM_CHECK(wake_ != nullptr && sweep_ != nullptr);
  const timeval period{kSweepMs / core::kMillisPerSecond,
                       kSweepMs % core::kMillisPerSecond * 1000};
  event_add(sweep_, &period);
  evhttp_set_bevcb(
      server_,
      [](event_base* /*base*/, void* self) {
        return static_cast<ConnectionGuard*>(self)->Open();
      },
      this);
}

ConnectionGuard::~ConnectionGuard() {
  event_free(wake_);
  event_free(sweep_);
}

auto ConnectionGuard::SetLimits(const HttpLimits& limits) -> void {
  limits_ = limits;
  for (const auto& [stream, connection] : connections_) {
    connection->ApplyLimits();
  }
}

/// Called by evhttp for each connection that it accepts, before its own object
/// for it exists. That is looked up by Wake(), which runs before anything can
/// be read from the connection.
auto ConnectionGuard::Open() -> bufferevent* {
  auto* stream = bufferevent_socket_new(base_, -1, 0);
  if (stream == nullptr) {
    return nullptr;
  }
  const auto has_room = table_->MakeRoom();
  auto connection = std::make_unique<Connection>(*this, stream);
  if (!has_room) {
    connection->Close(RefusalKind::kConnections);
  }
  connections_.emplace(stream, std::move(connection));
  new_.push_back(stream);
  ScheduleWake();
  if (table_->is_full() && socket_ != nullptr && is_accepting_) {
    // Otherwise all that wait would be accepted before one can be closed.
    evconnlistener_disable(evhttp_bound_socket_get_listener(socket_));
    is_accepting_ = false;
  }
  return stream;
}

auto ConnectionGuard::ScheduleWake() -> void {
  event_active(wake_, EV_TIMEOUT, 0);
}

auto ConnectionGuard::Wake() -> void {
  BindNewConnections();
  FreeClosed();
  if (!std::exchange(is_accepting_, true) && socket_ != nullptr) {
    evconnlistener_enable(evhttp_bound_socket_get_listener(socket_));
  }
}

auto ConnectionGuard::BindNewConnections() -> void {
  for (auto* stream : std::exchange(new_, {})) {
    if (const auto found = connections_.find(stream);
        found != connections_.end()) {
      found->second->Bind();
    }
  }
}

auto ConnectionGuard::FreeClosed() -> void {
  for (auto* stream : std::exchange(due_, {})) {
    if (const auto found = connections_.find(stream);
        found != connections_.end()) {
      found->second->RunDue();
    }
  }
}

auto ConnectionGuard::Sweep() -> void {
  const auto now = core::MonotonicNow();
  const auto late = now - std::exchange(last_sweep_at_, now) - kSweepMs;
  const auto paused = late >= kSweepMs ? late + kSweepMs : 0;
  for (const auto& [stream, connection] : connections_) {
    connection->CheckTime(now, paused);
  }
  for (const auto& line : table_->refusals().TakeDue(now)) {
    core::LogEvent(core::Event::kClientsRefused,
                   {{"why", core::NameOf(line.kind)},
                    {"count", line.count},
                    {"last_client", line.peer}});
  }
}

auto ConnectionGuard::FindConnection(evhttp_request* request) -> Connection* {
  auto* connection = evhttp_request_get_connection(request);
  if (connection == nullptr) {
    return nullptr;
  }
  const auto found =
      connections_.find(evhttp_connection_get_bufferevent(connection));
  return found == connections_.end() ? nullptr : found->second.get();
}

auto ConnectionGuard::OnRequest(evhttp_request* request)
    -> std::optional<HandledBytes> {
  auto* connection = FindConnection(request);
  return connection == nullptr ? std::nullopt : connection->OnRequest();
}

auto ConnectionGuard::KeepUntilWritten(evhttp_request* request, Kept kept)
    -> void {
  auto* connection = FindConnection(request);
  if (connection == nullptr) {
    return;
  }
  connection->OnAnswer(std::move(kept));
  evhttp_request_set_on_complete_cb(
      request,
      [](evhttp_request* /*request*/, void* self) {
        static_cast<Connection*>(self)->OnWritten();
      },
      connection);
}

}  // namespace kcm::net
