// The only file that includes libjsonrpccpp, whose headers need C++14: they use
// dynamic exception specifications.
#include "net/json_rpc.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

namespace siskinstage {

namespace {

constexpr const char *MethodName = "gossip";
constexpr const char *ParameterName = "m";

/// Stores the text that the client would send.
class CapturingConnector : public jsonrpc::IClientConnector {
public:
  void SendRPCMessage(
      const std::string &Message,
      std::string & /*Result*/) throw(jsonrpc::JsonRpcException) override {
    this->Text = Message;
  }
  std::string Text;
};

/// Passes received texts to the server. Notifications have no response.
class PassiveConnector : public jsonrpc::AbstractServerConnector {
public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string & /*Response*/,
                    void * /*Info*/) override {
    return true;
  }
};

/// Stores the parameters of the last notification.
class CapturingServer : public jsonrpc::AbstractServer<CapturingServer> {
public:
  explicit CapturingServer(jsonrpc::AbstractServerConnector &Connector)
      : jsonrpc::AbstractServer<CapturingServer>(Connector) {
    this->bindAndAddNotification(
        jsonrpc::Procedure(MethodName, jsonrpc::PARAMS_BY_NAME, ParameterName,
                           jsonrpc::JSON_OBJECT, NULL),
        &CapturingServer::onNotification);
  }
  void onNotification(const Json::Value &Parameters) {
    this->Params = Parameters[ParameterName];
    this->Received = true;
  }
  Json::Value Params;
  bool Received = false;
};

/// A JSON-RPC client and server without a network, which encode and decode
/// notifications.
struct RpcCodec {
  RpcCodec() : Encoder(EncoderOutput), Decoder(DecoderInput) {}
  CapturingConnector EncoderOutput;
  jsonrpc::Client Encoder;
  PassiveConnector DecoderInput;
  CapturingServer Decoder;
};

RpcCodec &threadCodec() {
  thread_local RpcCodec Codec;
  return Codec;
}

} // namespace

std::string gossipNotification(const Json::Value &Params) {
  Json::Value Wrapped(Json::objectValue);
  Wrapped[ParameterName] = Params;
  threadCodec().Encoder.CallNotification(MethodName, Wrapped);
  std::string Text = threadCodec().EncoderOutput.Text;
  while (!Text.empty() && (Text.back() == '\n' || Text.back() == ' '))
    Text.pop_back();
  return Text;
}

bool readGossipNotification(const std::string &Text, Json::Value &Params) {
  CapturingServer &Decoder = threadCodec().Decoder;
  Decoder.Received = false;
  try {
    threadCodec().DecoderInput.OnRequest(Text);
  } catch (const std::exception &) {
    return false;
  }
  Params = Decoder.Params;
  return Decoder.Received;
}

} // namespace siskinstage
