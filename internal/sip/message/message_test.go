package message

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/emiago/sipgo/sip"
)

// buildMessage makes a message with default fields. Each given field replaces the default of
// the same name or is added. A field "Name" without a value removes the default.
func buildMessage(start string, body string, fields ...string) string {
	usual := []string{
		"Via: SIP/2.0/UDP 192.0.2.15:5060;branch=z9hG4bKkdjuw", "Max-Forwards: 70", "From: <sip:caller@example.org>;tag=242",
		"To: <sip:desk@example.com>", "Call-ID: a1@192.0.2.15", "CSeq: 8 " + strings.SplitN(start, " ", 2)[0],
		fmt.Sprint("Content-Length: ", len(body)),
	}
	name := func(f string) string { return strings.ToLower(strings.TrimSpace(strings.SplitN(f, ":", 2)[0])) }
	var b strings.Builder
	b.WriteString(start + "\r\n")
	for _, u := range usual {
		keep := true
		for _, f := range fields {
			keep = keep && name(f) != name(u)
		}
		if keep {
			b.WriteString(u + "\r\n")
		}
	}
	for _, f := range fields {
		if strings.Contains(f, ":") {
			b.WriteString(f + "\r\n")
		}
	}
	return b.String() + "\r\n" + body
}

const invite = "INVITE sip:desk@example.com SIP/2.0"

// tortureCases are the cases of RFC 4475 and RFC 5118 that concern a proxy, written from
// their descriptions. want is 0 if the message is accepted, -1 if it is rejected without a
// response, else the status code of the response.
var tortureCases = []struct {
	name, text string
	want       int
}{
	{"3.1.1.1 folds, short names, odd spaces", "INVITE sip:vivekg@chair-dnrc.example.com;unknownparam SIP/2.0\r\n" +
		"TO :\r\n sip:vivekg@chair-dnrc.example.com ;   tag    = 1918181833n\r\n" +
		"from   : \"J Rosenberg \\\\\\\"\"       <sip:jdrosen@example.com>\r\n  ;\r\n  tag = 98asjd8\r\n" +
		"MaX-fOrWaRdS: 0068\r\nCall-ID: wsinv.ndaksdj@192.0.2.1\r\nContent-Length   : 3\r\n" +
		"cseq: 0009\r\n  INVITE\r\nVia  : SIP  /   2.0\r\n /UDP\r\n    192.0.2.2;branch=390skdjuw\r\ns :\r\n" +
		"NewFangledHeader:   newfangled value\r\n continued newfangled value\r\nUnknownHeaderWithUnusualValue: ;;,,;;,;\r\n" +
		"Route:\r\n <sip:services.example.com;lr;unknownwith=value;unknown-no-value>\r\n" +
		"v:  SIP  / 2.0  / TCP     spindle.example.com   ;\r\n  branch  =   z9hG4bK9ikj8  ,\r\n SIP  /    2.0   / UDP  192.168.255.111   ; branch=\r\n z9hG4bK30239\r\n" +
		"m:\"Quoted string \\\"\\\"\" <sip:jdrosen@example.com> ; newparam =\r\n      newvalue ;\r\n  secondparam ; q = 0.33\r\n\r\nabc", 0},
	{"3.1.1.2 all characters of a token", buildMessage("!interesting-Method0123456789_*+`.%indeed'~ sip:1_unusual.URI~(to-be!sure)&isn't+it$/crazy?,/;;*:&it+has=1,weird!*pas$wo~d_too.(doesn't-it)@example.com SIP/2.0", ""), 0},
	{"3.1.1.3 escapes", buildMessage("INVITE sip:sips%3Auser%40example.com@example.net SIP/2.0", "", "To: sip:%75se%72@example.com"), 0},
	{"3.1.1.4 an escaped zero", buildMessage("REGISTER sip:null-%00-null@example.com SIP/2.0", ""), 0},
	{"3.1.1.5 percent in a method", buildMessage("RE%47IST%45R sip:registrar.example.com SIP/2.0", ""), 0},
	{"3.1.1.6 no space before <", buildMessage(invite, "", "From: caller<sip:caller@example.com>;tag=323"), 0},
	{"3.1.1.7 long values", buildMessage("INVITE sip:"+strings.Repeat("amazinglylong", 20)+"@example.net SIP/2.0", "", "F: "+strings.Repeat("name ", 99)+"<sip:a@b>;tag="+strings.Repeat("t", 500), "From"), 0},
	{"3.1.1.8 more behind the body", buildMessage("REGISTER sip:example.com SIP/2.0", "") + buildMessage(invite, ""), 0},
	{"3.1.1.9 semicolons in the user part", buildMessage("OPTIONS sip:user;par=u%40example.net@example.com SIP/2.0", ""), 0},
	{"3.1.1.10 transports", buildMessage(invite, "", "Via: SIP/2.0/UDP t1.example.com;branch=z9hG4bKa", "Via: SIP/2.0/SCTP t2.example.com;branch=z9hG4bKb, SIP/2.0/UNKNOWN t4.example.com;branch=z9hG4bKc"), 0},
	{"3.1.1.11 several parts", buildMessage("MESSAGE sip:kumiko@example.org SIP/2.0", "--x\r\n\r\n\x00\x01\r\n--x--", "Content-Type: multipart/mixed;boundary=x"), 0},
	{"3.1.1.12 an unusual reason", buildMessage("SIP/2.0 200 = 2**3 * 5**2 но сто девяносто девять - простое", "", "CSeq: 8 INVITE"), 0},
	{"3.1.1.13 no reason", buildMessage("SIP/2.0 100 ", "", "CSeq: 8 INVITE"), 0},
	{"3.1.2.1 separators without values", buildMessage(invite, "", "Via: SIP/2.0/UDP 192.0.2.15;;,;,,"), -1},
	{"3.1.2.2 a length beyond the end", buildMessage(invite, "v=0", "Content-Length: 9999"), 400},
	{"3.1.2.3 a negative length", buildMessage(invite, "v=0", "Content-Length: -999"), 400},
	{"3.1.2.4 large numbers", buildMessage(invite, "", "CSeq: 36893488147419103232 INVITE"), 400},
	{"3.1.2.4 large hops", buildMessage(invite, "", "Max-Forwards: 300"), 400},
	{"3.1.2.5 large numbers in a response", buildMessage("SIP/2.0 503 x", "", "CSeq: 9292394834772304023312 OPTIONS"), -1},
	{"3.1.2.6 a quote without its end", buildMessage(invite, "", "To: \"Mr. J. User <sip:j.user@example.com>"), 400},
	{"3.1.2.7 a Request-URI in <>", buildMessage("INVITE <sip:user@example.com> SIP/2.0", ""), 400},
	{"3.1.2.8 spaces in a Request-URI", buildMessage("INVITE sip:user@example.com; lr SIP/2.0", ""), 400},
	{"3.1.2.9 many spaces in the start line", buildMessage("INVITE  sip:user@example.com  SIP/2.0", ""), 400},
	{"3.1.2.10 a space at its end", buildMessage("OPTIONS sip:remote-target@example.com SIP/2.0 ", ""), 400},
	{"3.1.2.11 headers in a Request-URI", buildMessage("INVITE sip:user@example.com?Route=%3Csip:example.com%3E SIP/2.0", ""), 0},
	{"3.1.2.12 a date that is none", buildMessage(invite, "", "Date: Fri, 01 Jan 2010 16:00:00 EST"), 0},
	{"3.1.2.14 spaces round an address", buildMessage(invite, "", "To: \"Watson, Thomas\" < sip:t.watson@example.org >"), 400},
	{"3.1.2.15 a name that needs quotes", buildMessage(invite, "", "From: Bell, Alexander <sip:a.g.bell@example.com>;tag=43"), 0},
	{"3.1.2.16 another version", buildMessage("OPTIONS sip:t.watson@example.org SIP/7.0", ""), 505},
	{"3.1.2.17 another method in CSeq", buildMessage("OPTIONS sip:user@example.com SIP/2.0", "", "CSeq: 8 INVITE"), 400},
	{"3.1.2.18 an unknown one too", buildMessage("NEWMETHOD sip:user@example.com SIP/2.0", "", "CSeq: 8 INVITE"), 400},
	{"3.1.2.19 a large status code", buildMessage("SIP/2.0 4294967301 better not break the receiver", "", "CSeq: 8 INVITE"), -1},
	{"3.2.1 a branch of nothing but the cookie", buildMessage(invite, "", "Via: SIP/2.0/UDP 192.0.2.1;branch=z9hG4bK"), 0},
	{"3.3.1 no From, To and Call-ID", buildMessage(invite, "", "From", "To", "Call-ID"), -1},
	{"3.3.1 no Call-ID", buildMessage(invite, "", "Call-ID"), -1},
	{"3.3.2 an unknown scheme", buildMessage("OPTIONS nobodyKnowsThisScheme:totallyopaquecontent SIP/2.0", ""), 416},
	{"3.3.3 a known one of others", buildMessage("OPTIONS soap.beep://192.0.2.103:3002 SIP/2.0", ""), 416},
	{"3.3.4 unknown schemes in fields", buildMessage(invite, "", "To: isbn:2983792873"), 0},
	{"3.3.8 several values where one belongs", buildMessage(invite, "", "Max-Forwards: 5", "CSeq: 5 INVITE", "Call-ID: x", "call-id: y"), 400},
	{"3.3.9 two lengths", buildMessage(invite, "v=0", "Content-Length: 0", "l: 3"), 400},
	{"3.3.11 no hops left", buildMessage(invite, "", "Max-Forwards: 0"), 0},
	{"3.4.1 a caller of RFC 2543", buildMessage(invite, "", "Via: SIP/2.0/UDP 192.0.2.33", "Max-Forwards", "Content-Length"), 0},
	{"5118 4.1 IPv6 everywhere", buildMessage("REGISTER sip:[2001:db8::10] SIP/2.0", "", "Via: SIP/2.0/UDP [2001:db8::9:1];branch=z9hG4bKas3-111", "To: sip:user@[2001:db8::10]:5070"), 0},
	{"5118 4.2 without its brackets", buildMessage("REGISTER sip:2001:db8::10 SIP/2.0", ""), 400},
	{"5118 4.3 a port that may be part of it", buildMessage("REGISTER sip:[2001:db8::10:5070] SIP/2.0", ""), 0},
	{"5118 4.4 a port behind it", buildMessage("REGISTER sip:[2001:db8::10]:5070 SIP/2.0", ""), 0},
	{"5118 4.5 received in brackets", buildMessage(invite, "", "Via: SIP/2.0/UDP [2001:db8::9:1];received=[2001:db8::9:255];branch=z9hG4bKas3-111"), 0},
	{"5118 4.6 received without", buildMessage(invite, "", "Via: SIP/2.0/UDP [2001:db8::9:1];received=2001:db8::9:255;branch=z9hG4bKas3"), 0},
	{"5118 4.8 several of each kind", buildMessage(invite, "", "Via: SIP/2.0/UDP [2001:db8::9:1]:6050;branch=z9hG4bKas3-111", "Via: SIP/2.0/UDP 192.0.2.1;branch=z9hG4bKjhja8781hjuaij65144"), 0},
	{"5118 4.10 IPv4 within IPv6", buildMessage("INVITE sip:user@[::ffff:192.0.2.10]:19823 SIP/2.0", "", "Via: SIP/2.0/UDP [::ffff:192.0.2.2]:5060;branch=z9hG4bKas3-112"), 0},
	{"a zone in an address", buildMessage(invite, "", "Via: SIP/2.0/UDP [fe80::1%eth0];branch=z9hG4bKa"), -1},
	{"a zero byte", buildMessage(invite, "", "Subject: a\x00b"), 400},
	{"a lone line feed", buildMessage(invite, "", "Subject: a\nVia: SIP/2.0/UDP 1.2.3.4"), 400},
	{"a line that is no field", buildMessage(invite, "", "Subject : fine", "no:t", "X Y: z"), 400},
	{"a Route without <>", buildMessage(invite, "", "Route: sip:192.0.2.1;lr"), 400},
	{"two branches", buildMessage(invite, "", "Via: SIP/2.0/UDP 192.0.2.15;branch=z9hG4bKa;branch=z9hG4bKb"), -1},
	{"a port of nothing", buildMessage(invite, "", "Via: SIP/2.0/UDP 192.0.2.15:0;branch=z9hG4bKa"), -1},
	{"many fields", buildMessage(invite, "", strings.Split(strings.Repeat("A: b\n", MaxFields+1), "\n")...), -1},
	{"many Vias in one", buildMessage(invite, "", "Via: SIP/2.0/UDP 1.2.3.4"+strings.Repeat(",SIP/2.0/UDP 1.2.3.4", MaxFields)), 400},
	{"a long line", buildMessage(invite, "", "Subject: "+strings.Repeat("x", MaxLineBytes)), -1},
	{"HTTP", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", -1},
	{"nothing", "\r\n\r\n", -1},
}

func TestTorture(t *testing.T) {
	for _, c := range tortureCases {
		t.Run(c.name, func(t *testing.T) {
			m, err := Parse([]byte(c.text))
			if c.want == 0 {
				if err != nil {
					t.Fatal(err)
				}
				again, err := Parse(m.Encode())
				if err != nil || !reflect.DeepEqual(m.Fields, again.Fields) && !equalExceptContentLength(m, again) || again.CallID != m.CallID {
					t.Errorf("encoded and parsed again: %v\n%+v\n%+v", err, m.Fields, again.Fields)
				}
				// An independent parser accepts the message too, except where it lacks support.
				if _, err := sip.ParseMessage(m.Encode()); err != nil && !strings.HasPrefix(c.name, "3.1.1.2 ") && !strings.HasPrefix(c.name, "3.3.4") {
					t.Errorf("independent parser: %v", err)
				}
				return
			}
			var e *Error
			if !errors.As(err, &e) {
				t.Fatalf("accepted as %+v, %v", m, err)
			}
			if c.want > 0 && (m == nil || !m.Answerable() || e.Code != c.want) {
				t.Errorf("%v, code %d, want an answerable request with code %d", err, e.Code, c.want)
			}
			if c.want < 0 && m != nil && m.Answerable() {
				t.Errorf("answerable with code %d, want no response: %v", e.Code, err)
			}
		})
	}
}

// equalExceptContentLength reports whether two messages have the same body and the same
// fields, apart from Content-Length.
func equalExceptContentLength(a, b *Message) bool {
	x, y := a.Clone(), b.Clone()
	x.Drop("content-length")
	y.Drop("content-length")
	return reflect.DeepEqual(x.Fields, y.Fields) && bytes.Equal(a.Body, b.Body)
}

// A message that is truncated at any byte is never accepted as complete, neither in a
// datagram nor on a stream.
func TestTruncatedAtEveryByte(t *testing.T) {
	whole := buildMessage(invite, "v=0\r\n", "Subject: a\r\n b")
	for n := range len(whole) {
		if m, err := Parse([]byte(whole[:n])); err == nil {
			t.Fatalf("truncated at byte %d, but accepted: %+v", n, m)
		}
		in := NewReader(iotest.OneByteReader(strings.NewReader(whole+whole[:n])), 4<<10)
		if m, err := in.Next(); err != nil || string(m.Body) != "v=0\r\n" {
			t.Fatalf("first message: %+v, %v", m, err)
		}
		if m, err := in.Next(); err == nil || m != nil || n > 0 && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatalf("truncated at byte %d: %+v, %v", n, m, err)
		}
	}
}

func TestStreams(t *testing.T) {
	good := buildMessage(invite, "v=0")
	for _, c := range []struct {
		name, text string
		code       int // of an *Error; 0 for any other error
	}{
		{"no length", buildMessage(invite, "", "Content-Length"), 400},
		{"two lengths", buildMessage(invite, "abc", "Content-Length: 3", "Content-Length: 0"), 400},
		{"a huge one", buildMessage(invite, "", "Content-Length: 99999999"), 513},
		{"a negative one", buildMessage(invite, "", "Content-Length: -1"), 400},
		{"a head without end", "INVITE sip:a@b SIP/2.0\r\n" + strings.Repeat("A: b\r\n", 4000), 0},
		{"a line without end", strings.Repeat("x", 20000), 0},
	} {
		in := NewReader(strings.NewReader("\r\n"+good+c.text), 8<<10)
		if m, err := in.Next(); m != nil || err != nil {
			t.Errorf("%s: keep-alive gave %+v, %v", c.name, m, err)
		}
		if m, err := in.Next(); err != nil || string(m.Body) != "v=0" {
			t.Fatalf("%s: %+v, %v", c.name, m, err)
		}
		var e *Error
		if _, err := in.Next(); err == nil || errors.As(err, &e) != (c.code != 0) || c.code != 0 && e.Code != c.code {
			t.Errorf("%s: %v, want code %d", c.name, err, c.code)
		}
	}
}

// Fields and parameters that the proxy does not know keep their exact form, as does the case
// of the method.
func TestPreservesUnknownContent(t *testing.T) {
	m, err := Parse([]byte(buildMessage("iNVITE sip:B%41@B;Foo=Bar SIP/2.0", "\x00\xff", "X-Odd:  a ,, b;c", "Contact: \"Q, r\" <sip:x@y;a>;Q=0.5;Z=\"a,b\"")))
	if err != nil {
		t.Fatal(err)
	}
	out := string(m.Encode())
	for _, part := range []string{"iNVITE sip:B%41@B;Foo=Bar SIP/2.0\r\n", "X-Odd: a ,, b;c\r\n", "\"Q, r\" <sip:x@y;a>;Q=0.5;Z=\"a,b\"\r\n", "Call-ID: a1@192.0.2.15\r\n", "\r\n\r\n\x00\xff"} {
		if !strings.Contains(out, part) {
			t.Errorf("%q is not in\n%s", part, out)
		}
	}
}

func TestReceived(t *testing.T) {
	from := netip.MustParseAddrPort("192.0.2.1:4000")
	for _, c := range [][2]string{
		{"SIP/2.0/UDP 192.0.2.1:5060;branch=z9hG4bKa", "SIP/2.0/UDP 192.0.2.1:5060;branch=z9hG4bKa"},
		{"SIP/2.0/UDP a.example;branch=z9hG4bKa", "SIP/2.0/UDP a.example;branch=z9hG4bKa;received=192.0.2.1"},
		{"SIP/2.0/UDP 192.0.2.1;rport;branch=z9hG4bKa", "SIP/2.0/UDP 192.0.2.1;branch=z9hG4bKa;received=192.0.2.1;rport=4000"},
		{"SIP/2.0/UDP 192.0.2.9;received=6.6.6.6;rport=1;branch=z9hG4bKa", "SIP/2.0/UDP 192.0.2.9;branch=z9hG4bKa;received=192.0.2.1;rport=4000"},
	} {
		v, err := ParseVia(c[0])
		if err != nil || v.WithReceived(from) != c[1] {
			t.Errorf("%s became %s, %v, want %s", c[0], v.WithReceived(from), err, c[1])
		}
	}
}

// Parsing never panics, and an accepted message is the same after encoding and parsing.
func FuzzParse(f *testing.F) {
	for _, c := range tortureCases {
		f.Add([]byte(c.text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Parse(data)
		if m != nil && err != nil {
			m.Answerable()
		}
		if err == nil {
			again, err := Parse(m.Encode())
			if err != nil || !equalExceptContentLength(m, again) || again.Via.SentBy() != m.Via.SentBy() || again.URI != m.URI || again.FromTag != m.FromTag {
				t.Fatalf("%v\n%q\n%q", err, data, m.Encode())
			}
			r := m.Response(404, "t")
			if _, err := Parse(r.Encode()); m.IsRequest() && err != nil {
				t.Fatalf("the response to %q: %v", data, err)
			}
		}
		in := NewReader(bytes.NewReader(data), 4<<10)
		for range len(data) + 1 {
			if _, err := in.Next(); err != nil {
				return
			}
		}
		t.Fatal("the reader did not reach the end of the stream")
	})
}
