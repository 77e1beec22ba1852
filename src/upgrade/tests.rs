use super::change::{Change, OperatorState};
use super::frame::{BackendOperation, Frame, FrameError, LAYOUT_VERSION, REVISION, Revision, take_frame};
use super::link::{Message, link};
use crate::exchange::EngineState;
use bytes::BytesMut;
use quickcheck::{Gen, QuickCheck};
use std::io::{Read, Write};
use std::os::fd::OwnedFd;
use tokio::net::UnixStream;

fn frames() -> Vec<Frame> {
    let engine =
        EngineState { limiter: vec![7; 300], disabled: vec!["s-1".into()], ..EngineState::default() };
    vec![
        Frame::Hello(LAYOUT_VERSION, REVISION),
        Frame::Sockets { peers: true, revision: REVISION },
        Frame::State { engine, drained: true, backend_connections: 3 },
        Frame::ClientConnection { had_requests: true, message_age: Some(1.5), bytes: b"GET / HT".to_vec() },
        Frame::Operate(4, BackendOperation::Disable("s-2".into())),
        Frame::OperationDone(4),
        Frame::Operators(OperatorState { disabled: vec!["s-1".into()], drained: true }),
        Frame::Submit { number: 7, change: Change::DrainIngress("n1".into(), true), expires_at: 1 << 40 },
        Frame::Submitted(7, Err("no such ingress".into())),
        Frame::Follow(8, Change::Resume),
        Frame::Followed(8),
    ]
}

/// Decodes bytes that arrive in pieces, up to the first error.
fn decode_in_pieces(bytes: &[u8], cuts: &[u16]) -> Vec<Result<Frame, FrameError>> {
    let (mut buffer, mut all, mut failed) = (BytesMut::new(), Vec::new(), false);
    crate::net::tests::parse_in_pieces(bytes, cuts, |piece| {
        buffer.extend_from_slice(piece);
        while !failed {
            match take_frame(&mut buffer) {
                Ok(Some(frame)) => all.push(Ok(frame)),
                Ok(None) => break,
                Err(error) => {
                    all.push(Err(error));
                    failed = true;
                }
            }
        }
        Vec::<()>::new()
    });
    all
}

#[test]
fn decodes_frames_from_any_pieces_and_garbage_without_panic() {
    fn pieces(cuts: Vec<u16>) -> bool {
        let bytes: Vec<u8> = frames().iter().flat_map(Frame::bytes).collect();
        decode_in_pieces(&bytes, &cuts).into_iter().map(Result::unwrap).eq(frames())
    }
    fn garbage(bytes: Vec<u8>, cuts: Vec<u16>) -> bool {
        decode_in_pieces(&bytes, &cuts).len() <= bytes.len()
    }
    let check = || QuickCheck::new().rng(Gen::from_size_and_seed(200, 11)).tests(400);
    check().quickcheck(pieces as fn(Vec<u16>) -> bool);
    check().quickcheck(garbage as fn(Vec<u8>, Vec<u16>) -> bool);
    assert!(
        decode_in_pieces(&u32::MAX.to_le_bytes(), &[])[0].is_err(),
        "a frame of excessive length is rejected at once"
    );
}

#[tokio::test]
async fn descriptors_arrive_with_their_frames_in_order() {
    let (one, two) = UnixStream::pair().unwrap();
    let ((_, mut writer), (mut reader, other)) = (link(one), link(two));
    let pipes: Vec<_> = (0..3).map(|_| std::io::pipe().unwrap()).collect();
    let (mut kept, given): (Vec<_>, Vec<_>) = pipes.into_iter().unzip();
    let mut given = given.into_iter().map(OwnedFd::from);
    let message = |frame, descriptors| Message { frame, descriptors };
    let client =
        || Frame::ClientConnection { had_requests: false, message_age: None, bytes: vec![1; 40_000] };
    let sending = async {
        writer.write(&message(client(), given.by_ref().take(1).collect())).await.unwrap();
        writer.write(&Frame::TakeOver.into()).await.unwrap();
        let sockets = Frame::Sockets { peers: true, revision: REVISION };
        writer.write(&message(sockets, given.by_ref().take(2).collect())).await.unwrap();
        drop(writer);
    };
    let receiving = async {
        let mut all = Vec::new();
        while let Some(message) = reader.next().await.unwrap() {
            let last = matches!(message.frame, Frame::Sockets { .. });
            all.push(message);
            if last {
                break;
            }
        }
        all
    };
    let ((), all) = tokio::join!(sending, receiving);
    drop(other);
    assert_eq!(all.iter().map(|message| message.descriptors.len()).collect::<Vec<_>>(), [1, 0, 2]);
    for (i, descriptor) in all.into_iter().flat_map(|message| message.descriptors).enumerate() {
        std::fs::File::from(descriptor).write_all(&[i as u8]).unwrap();
        let mut byte = [9];
        kept[i].read_exact(&mut byte).unwrap();
        assert_eq!(byte, [i as u8]);
    }
}

/// The encodings of 2026-12-06, whose program writes no revision and passes over bytes behind the fields that it knows.
#[test]
fn first_frames_are_read_from_and_by_versions_without_a_revision() {
    let decode = |body: &[u8]| {
        let length = u32::try_from(body.len()).unwrap().to_le_bytes();
        take_frame(&mut BytesMut::from(&[&length[..], body].concat()[..])).unwrap().unwrap()
    };
    assert_eq!(decode(&[0, 1]), Frame::Hello(1, Revision::FIRST));
    assert_eq!(decode(&[1, 1]), Frame::Sockets { peers: true, revision: Revision::FIRST });
    assert_eq!(Frame::Hello(1, REVISION).bytes()[4..], [0, 1, 1]);
    assert_eq!(Frame::Sockets { peers: true, revision: REVISION }.bytes()[4..], [1, 1, 1]);
    assert_eq!(decode(&[7, 4, 1, 1, b'a']), Frame::Operate(4, BackendOperation::Disable("a".into())));
}
