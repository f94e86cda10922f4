#include "LibNet/bus.h"

#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <string_view>

#include "LibCore/check.h"
#include "LibCore/event.h"
#include "LibCore/json_decode.h"
#include "LibCore/member_reader.h"

namespace kcm::net {

namespace {

constexpr int kBufferMessages = 256;
constexpr nng_duration kReconnectMinMs = 50;
constexpr nng_duration kReconnectMaxMs = 500;
constexpr std::size_t kMaxMessageBytes = 64ULL * 1024 * 1024;

auto UrlOf(const core::Address& address) -> std::string {
  return "tcp://" + address.ToString();
}

}  // namespace

auto Bus::create(EventLoop& loop,
                 std::string self,
                 const core::Address& address,
                 core::Reason& reason) -> std::unique_ptr<Bus> {
  nng_socket inbox;
  KCM_CHECK(nng_pull0_open(&inbox) == 0);
  nng_socket_set_size(inbox, NNG_OPT_RECVMAXSZ, kMaxMessageBytes);
  nng_socket_set_int(inbox, NNG_OPT_RECVBUF, kBufferMessages);
  const auto url = UrlOf(address);
  if (const auto error = nng_listen(inbox, url.c_str(), nullptr, 0);
      error != 0) {
    nng_close(inbox);
    reason = {core::ErrorKind::kBadInput, "bus",
              "Cannot listen on " + url + ": " + nng_strerror(error) + "."};
    return nullptr;
  }
  int descriptor = 0;
  KCM_CHECK(nng_socket_get_int(inbox, NNG_OPT_RECVFD, &descriptor) == 0);
  std::unique_ptr<Bus> bus(new Bus(std::move(self), inbox));
  loop.OnReadable(descriptor, [raw = bus.get()] { raw->ReceiveMessages(); });
  return bus;
}

Bus::~Bus() {
  for (const auto& [peer, socket] : peers_) {
    nng_close(socket);
  }
  nng_close(inbox_);
}

auto Bus::OnMessage(const std::string& type, Handler handler) -> void {
  handlers_[type] = std::move(handler);
}

auto Bus::AddPeer(const std::string& peer, const core::Address& address)
    -> void {
  if (peers_.contains(peer)) {
    return;
  }
  nng_socket socket;
  KCM_CHECK(nng_push0_open(&socket) == 0);
  nng_socket_set_int(socket, NNG_OPT_SENDBUF, kBufferMessages);
  nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, kReconnectMinMs);
  nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, kReconnectMaxMs);
  nng_dial(socket, UrlOf(address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
  peers_[peer] = socket;
}

auto Bus::Send(const std::string& peer,
               const std::string& type,
               const core::Json& body) -> void {
  const auto found = peers_.find(peer);
  if (found == peers_.end()) {
    ++counters_.dropped;
    return;
  }
  const core::Json envelope = {{"from", self_}, {"type", type}, {"body", body}};
  auto bytes = core::Json::to_msgpack(envelope);
  const auto error =
      nng_send(found->second, bytes.data(), bytes.size(), NNG_FLAG_NONBLOCK);
  if (error != 0) {
    ++counters_.dropped;
    return;
  }
  ++counters_.sent;
  counters_.bytes_sent += bytes.size();
}

auto Bus::ReceiveMessages() -> void {
  nng_msg* message = nullptr;
  while (nng_recvmsg(inbox_, &message, NNG_FLAG_NONBLOCK) == 0) {
    HandleMessage(message);
    nng_msg_free(message);
  }
}

auto Bus::HandleMessage(const nng_msg* message) -> void {
  auto* raw = const_cast<nng_msg*>(message);
  const auto* begin = static_cast<const char*>(nng_msg_body(raw));
  const auto size = nng_msg_len(message);
  ++counters_.received;
  counters_.bytes_received += size;
  const auto envelope =
      core::ParseMessagePack({begin, size}, core::kOwnDocument);
  core::MemberReader members(envelope);
  BusMessage received;
  members.Require({"body"});
  members.Read("from", received.from);
  members.Read("type", received.type);
  if (!members.invalid_member().empty()) {
    core::LogEvent(core::Event::kBadMessage, {{"bytes", size}});
    return;
  }
  received.body = envelope["body"];
  const auto handler = handlers_.find(received.type);
  if (handler == handlers_.end()) {
    return;
  }
  try {
    handler->second(received);
  } catch (const core::Json::exception& error) {
    // Messages whose body this version cannot decode are dropped.
    core::LogEvent(core::Event::kBadMessage,
                   {{"type", received.type}, {"error", error.what()}});
  }
}

}  // namespace kcm::net
