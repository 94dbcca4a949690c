#include "registry/command_dispatcher.h"

#include <glog/logging.h>
#include <json/json.h>

#include <algorithm>

#include "protocol/database_protocol.h"
#include "protocol/http_calls.h"
#include "state/json_document.h"
#include "transport/database_message.h"
#include "transport/header_names.h"

namespace saddlewing {
namespace {

constexpr Duration database_wait{600}, platform_wait{2500};

NodeAnswer read_node_answer(int status, const std::string& body) {
  NodeAnswer answer;
  Json::Value value;
  std::string reason;
  if (status < 200 || status > 299)
    return answer.type = NodeAnswer::Type::refused, answer;
  answer.type = NodeAnswer::Type::garbled;
  if (!read_json(body, value, reason) || !value.isObject() || !value["is_done"].isBool())
    return answer;
  for (const char* name : {"interface", "position"})
    if (value.isMember(name) && !value[name].isUInt64())
      return answer;
  if (value.isMember("share") && (!value["share"].isNumeric() || !(value["share"].asDouble() >= 0 &&
                                                                   value["share"].asDouble() <= 1)))
    return answer;
  answer.type = NodeAnswer::Type::told;
  answer.is_done = value["is_done"].asBool();
  answer.share = value.get("share", 0).asDouble();
  answer.interface =
      value.isMember("interface")
          ? static_cast<int>(std::min<std::uint64_t>(value["interface"].asUInt64(), 1000))
          : 1;
  if (value.isMember("position"))
    answer.position = value["position"].asUInt64();
  return answer;
}

}  // namespace

CommandDispatcher::CommandDispatcher(const NodeSettings& settings,
                                     BoundedQueue<ControlEvent>& events)
    : settings_(settings), events_(events), orders_(1024, [this] { poller_.wake(); }) {
}

void CommandDispatcher::start() {
  thread_ = std::thread([this] { run(); });
}

void CommandDispatcher::stop() {
  should_stop_ = true;
  poller_.wake();
  if (thread_.joinable())
    thread_.join();
}

void CommandDispatcher::run() {
  while (!should_stop_) {
    poller_.poll(timers_.until_next(Clock::now(), Duration(1000)));
    const TimePoint now = Clock::now();
    for (DispatchedCommand& order : orders_.take())
      begin(std::move(order), now);
    timers_.run(now);
    std::erase_if(commands_, [](const auto& command) { return command->is_over; });
  }
}

bool CommandDispatcher::is_leased(const DispatchedCommand& order, TimePoint now) const {
  if (now < order.until)
    return true;
  const TimePoint until{TimePoint::duration(lease_until_.load())};
  return now < until && lease_term_ == order.owner_number;
}

// Nothing leaves once the lease is over under which it was decided: not here, and not when a
// connection stands later.
void CommandDispatcher::begin(DispatchedCommand order, TimePoint now) {
  commands_.push_back(std::make_unique<PendingCommand>(*this, std::move(order)));
  PendingCommand& command = *commands_.back();
  if (!is_leased(command.order, now))
    return finish(command, 0);
  if (!command.order.node_order.empty())
    return begin_node(command, now);
  if (!command.order.text.empty()) {
    timers_.set(command, now + database_wait);
    command.link = std::make_unique<DatabaseTransport>(
        poller_, DatabaseTransport::Owner{[this, &command](DatabaseMessage&& message) {
                                            return take(command, std::move(message));
                                          },
                                          [this, &command](DatabaseReadResult) {
                                            finish(command, 0);
                                          }});
    Address address;
    if (!parse_address(command.order.address, address) || !command.link->connect(address) ||
        !command.link->send(encode_database_message(
            DatabaseMessageKind::connect, {command.order.service, "saddlewing", command.order.id})))
      finish(command, 0);
    return;
  }
  timers_.set(command, now + platform_wait);
  Json::Value value(Json::objectValue);
  value["service"] = command.order.service;
  value["id"] = command.order.id;
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  const std::string body = Json::writeString(builder, value);
  const HttpCallRow& row = row_of(HttpCall::promote);
  const std::string fields = std::string(header_name::duty_owner) + ": " + settings_.node_name +
                             "\r\n" + header_name::owner_number + ": " +
                             std::to_string(command.order.owner_number) + "\r\n";
  call(command, settings_.platform, row, fields, body);
}

void CommandDispatcher::begin_node(PendingCommand& command, TimePoint now) {
  timers_.set(command, now + database_wait);
  Address address;
  if (!parse_address(command.order.address, address))
    return finish(command, 0);
  call(command, address, row_of(HttpCall::move_step),
       std::string(header_name::target_server) + ": " + command.order.id + "\r\n",
       command.order.node_order);
}

void CommandDispatcher::call(PendingCommand& command, const Address& address,
                             const HttpCallRow& row, const std::string& fields,
                             const std::string& body) {
  std::string request = std::string(row.method) + " " + std::string(row.path) +
                        " HTTP/1.1\r\nHost: " + address.text() + "\r\n" + fields;
  request += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
             "\r\n\r\n" + body;
  command.caller = std::make_unique<HttpClientConnection>(poller_, command, address, 16384, 65536);
  const TimePoint latest =
      command.order.node_order.empty() ? command.order.until : TimePoint::max();
  if (!command.caller->ask(request, false, {}, latest))
    finish(command, 0);
}

bool CommandDispatcher::take(PendingCommand& command, DatabaseMessage&& message) {
  if (command.is_over)
    return false;
  if (message.kind == DatabaseMessageKind::error)
    finish(command, 0);
  if (message.kind == DatabaseMessageKind::row)
    command.row = message.field(0);
  if (message.kind != DatabaseMessageKind::ready || command.is_over)
    return !command.is_over;
  if (command.is_greeted)
    finish(command, 200);
  else if (!is_leased(command.order, Clock::now()) ||
           !command.link->send(encode_query("-", command.order.text)))
    finish(command, 0);
  command.is_greeted = true;
  return !command.is_over;
}

void CommandDispatcher::finish(PendingCommand& command, int status) {
  if (command.is_over)
    return;
  command.is_over = true;
  timers_.drop(command);
  if (!command.order.node_order.empty()) {
    const bool is_reachable = status != 0 && command.caller;
    NodeReply told{
        command.order.token,
        is_reachable ? read_node_answer(status, command.caller->reader().body()) : NodeAnswer{}};
    hand_over(events_, std::move(told), "answer of a ring node");
    return;
  }
  if (command.caller) {
    LOG(INFO) << "envoy: the platform was told that " << command.order.id << " is to lead "
              << command.order.service << ": " << (status ? std::to_string(status) : "no answer");
    hand_over(events_, PromotionResult{command.order.token, status}, "result of a promotion");
    return;
  }
  if (command.order.text.empty()) {
    hand_over(events_, PromotionResult{command.order.token, 0}, "result of a promotion");
    return;
  }
  DatabaseReply examined{command.order.token, std::nullopt};
  DatabaseStatus read;
  if (status == 200 && read_database_status(command.row, read))
    examined.status = read;
  hand_over(events_, std::move(examined), "status of a database");
  if (command.link)  // none was begun without a lease
    command.link->close();
}

void CommandDispatcher::PendingCommand::on_due(TimePoint) {
  if (caller)
    caller->abort();
  dispatcher.finish(*this, 0);
}
void CommandDispatcher::PendingCommand::on_response(HttpClientConnection& from, TimePoint) {
  dispatcher.finish(*this, from.reader().response().getStatus());
}
void CommandDispatcher::PendingCommand::on_failure(HttpClientConnection&, ErrorCode, TimePoint) {
  dispatcher.finish(*this, 0);
}

}  // namespace saddlewing
